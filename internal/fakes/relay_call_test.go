package fakes

import (
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"
)

// post makes one call with a command, and returns the answer.
func post(t *testing.T, r *Relay, form url.Values, timeout time.Duration) (string, error) {
	t.Helper()
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.PostForm("http://"+r.Address+callPath, form)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func commitForm(commands string) url.Values {
	return url.Values{actionField: {commitAction}, commandsField: {commands}}
}

// Each fault executes the call or not, and answers it or not.
func TestEachFaultOfACall(t *testing.T) {
	const accepted = `<?xml version="1.0"?><Response><items><item><taken>1</taken></item></items></Response>`
	const timeout = 200 * time.Millisecond
	for _, one := range []struct {
		fault    Fault
		executed bool
		answer   string // a part of it; empty: none comes
		timesOut bool
	}{
		{fault: NoFault, executed: true, answer: accepted},
		{fault: AnswerLost, executed: true},
		{fault: NotExecuted, executed: false},
		{fault: NoAnswer, executed: true, timesOut: true},
		{fault: AnswerGarbled, executed: true, answer: "\x00\x01"},
		{fault: AnswerBusy, executed: false, answer: "<error>BUSY</error>"},
		{fault: AnswerDelayed, executed: true, answer: accepted},
	} {
		t.Run(one.fault.String(), func(t *testing.T) {
			r := relay(t)
			r.Configure(func(r *Relay) {
				r.InjectFault = func(int) Fault { return one.fault }
				r.AnswerDelay = time.Millisecond
			})
			answer, err := post(t, r, commitForm("withdraw,"+ServerID(0)), timeout)
			if r.Withdrawn(ServerID(0)) != one.executed {
				t.Errorf("executed %v, want %v", !one.executed, one.executed)
			}
			if (err == nil) != (one.answer != "") || !strings.Contains(answer, one.answer) {
				t.Errorf("answered %q, %v", answer, err)
			}
			if isTimeout(err) != one.timesOut {
				t.Errorf("%v", err)
			}
			if counts := r.Counts(); one.fault != NoFault && counts.Faults[one.fault.String()] != 1 {
				t.Errorf("counted %v", counts.Faults)
			}
		})
	}
}

func isTimeout(err error) bool {
	var failed *url.Error
	return errors.As(err, &failed) && failed.Timeout()
}

// A call that is not a commit, can't be read or is too long executes nothing.
func TestACallThatCantBeReadExecutesNothing(t *testing.T) {
	commands := "withdraw," + ServerID(0)
	for name, form := range map[string]url.Values{
		"no action":      {commandsField: {commands}},
		"another action": {actionField: {"Read"}, commandsField: {commands}},
		"too long":       commitForm(commands + strings.Repeat(commandSeparator+"withdraw,"+ServerID(1), 10_000)),
	} {
		r := relay(t)
		answer, err := post(t, r, form, time.Second)
		if err != nil || !strings.Contains(answer, "<error>SYNTAX</error>") || r.Withdrawn(ServerID(0)) {
			t.Errorf("%s: answered %q, %v", name, answer, err)
		}
	}
}

// While the relay is unavailable a call breaks and executes nothing, whatever its fault.
func TestAnUnavailableRelayExecutesNothing(t *testing.T) {
	r := relay(t)
	r.SetUnavailable(true)
	if answer, err := post(t, r, commitForm("withdraw,"+ServerID(0)), time.Second); err == nil || r.Withdrawn(ServerID(0)) {
		t.Errorf("answered %q", answer)
	}
	r.SetUnavailable(false)
	if answer, err := post(t, r, commitForm("withdraw,"+ServerID(0)), time.Second); err != nil || !r.Withdrawn(ServerID(0)) {
		t.Errorf("answered %q, %v", answer, err)
	}
}
