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

// post sends one call to the relay and returns the body of the answer.
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

// Each fault determines whether a call is executed and whether it is answered.
func TestCallFaults(t *testing.T) {
	const accepted = `<?xml version="1.0"?><Response><items><item><taken>1</taken></item></items></Response>`
	const timeout = 200 * time.Millisecond
	for _, test := range []struct {
		fault    Fault
		executed bool
		answer   string // expected substring of the answer; empty if no answer is expected
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
		t.Run(test.fault.String(), func(t *testing.T) {
			r := newTestRelay(t)
			r.Configure(func(r *Relay) {
				r.InjectFault = func(int) Fault { return test.fault }
				r.AnswerDelay = time.Millisecond
			})
			answer, err := post(t, r, commitForm("withdraw,"+ServerID(0)), timeout)
			if r.Withdrawn(ServerID(0)) != test.executed {
				t.Errorf("executed: %v, want %v", !test.executed, test.executed)
			}
			if (err == nil) != (test.answer != "") || !strings.Contains(answer, test.answer) {
				t.Errorf("answer %q, error %v; want an answer with %q", answer, err, test.answer)
			}
			if isTimeout(err) != test.timesOut {
				t.Errorf("error %v; want a timeout: %v", err, test.timesOut)
			}
			if counts := r.Counts(); test.fault != NoFault && counts.Faults[test.fault.String()] != 1 {
				t.Errorf("fault counts %v, want one %v", counts.Faults, test.fault)
			}
		})
	}
}

func isTimeout(err error) bool {
	var urlError *url.Error
	return errors.As(err, &urlError) && urlError.Timeout()
}

// A call that is not a commit or is too long executes no command.
func TestInvalidCallExecutesNothing(t *testing.T) {
	commands := "withdraw," + ServerID(0)
	for name, form := range map[string]url.Values{
		"no action":      {commandsField: {commands}},
		"another action": {actionField: {"Read"}, commandsField: {commands}},
		"too long":       commitForm(commands + strings.Repeat(commandSeparator+"withdraw,"+ServerID(1), 10_000)),
	} {
		r := newTestRelay(t)
		answer, err := post(t, r, form, time.Second)
		if err != nil || !strings.Contains(answer, "<error>SYNTAX</error>") || r.Withdrawn(ServerID(0)) {
			t.Errorf("%s: answer %q, error %v; want a syntax error as the answer and no withdrawal", name, answer, err)
		}
	}
}

// While the relay is unavailable, the connection of a call breaks and no command is executed.
func TestUnavailableRelayExecutesNothing(t *testing.T) {
	r := newTestRelay(t)
	r.SetUnavailable(true)
	if answer, err := post(t, r, commitForm("withdraw,"+ServerID(0)), time.Second); err == nil || r.Withdrawn(ServerID(0)) {
		t.Errorf("unavailable relay: answer %q; want a broken connection and no withdrawal", answer)
	}
	r.SetUnavailable(false)
	if answer, err := post(t, r, commitForm("withdraw,"+ServerID(0)), time.Second); err != nil || !r.Withdrawn(ServerID(0)) {
		t.Errorf("available again: answer %q, error %v; want a withdrawal", answer, err)
	}
}
