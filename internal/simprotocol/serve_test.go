package simprotocol

import (
	"errors"
	"strings"
	"testing"

	"tamarindshore/balancer"
)

const settingsJSON = `{"classes":[{"name":"quote","aimUs":2000000,"hardLimitUs":6000000,"worth":1,"repeat":"idempotent"}],` +
	`"zones":["east"],"domain":{"egressPerS":8600.0,"queueCap":8600.0,"envelope":4,"unknownKey":3},` +
	`"report":{"fields":["outstanding"],"how":"piggyback"},"rules":{"warmAfterUs":16000000},"other":{}}`

const startBatch = "BATCH\t1000\nNEW_INSTANCE\t3\t99\t" + settingsJSON + "\nTOPOLOGY\t3\tPersisted\t41\t2\n" +
	"M\t0\teast\t-\tw1\t1\tready\tfast\nM\t0\teast\t6100000\tw2\t1.5\tready\tfast\nEOF_BATCH\n"

func serve(in string) (string, error) {
	var out strings.Builder
	err := Serve(strings.NewReader(in), &out)
	return out.String(), err
}

func TestServeAnswersEachBatchOnce(t *testing.T) {
	out, err := serve(startBatch + "BATCH\t2000\nDIALLED_IN\t3\t6.5\t1\t41\teast\n" +
		"OBSERVED\t3\tw1\t1\t14\t48250\t1000000\teast\toutstanding:7,other:2\nOBSERVED\t3\tgone\t0\t0\t0\t0\teast\t-\n" +
		"OFFERED_LOAD\t3\t41\tquote\t9\t0\t2000000\nREMINDER\t3\t1\n" +
		"TOPOLOGY\t3\tError\t41\t0\nINSTALLED\t3\t41\t1\t400\nHEALTH_RESULT\t3\tw1\texpired\t600000\t-\nEOF_BATCH\n" +
		"BATCH\t60000\nREMINDER\t3\t1\nSTREAM_DOWN\t3\t41\nSTREAM_DOWN\t3\t41\nEOF_BATCH\nBATCH\t61000\nDOWN\t3\nEOF_BATCH\n")
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out, "FINISHED\n"); n != 4 {
		t.Errorf("got %d replies to 4 batches", n)
	}
	for _, want := range []string{"SET_WEIGHT\t3\t", "SUBSCRIBE_TO\t3\t0\t41\t0\n", "CHECKPOINT\t3\t1\t0\n", "SLEEP\t3\t1\t"} {
		if !strings.Contains(out, want) {
			t.Errorf("%q is missing in the replies:\n%s", want, out)
		}
	}
}

func TestServeReportsInvalidLines(t *testing.T) {
	for _, bad := range []struct {
		line, text string
		sentinel   error  // wrapped by the error, or nil
		field      string // Field of the FieldError, or empty
	}{
		{"OBSERVED\t3\tw1\t1", "line 8: OBSERVED: too few values: many is missing", ErrTooFewValues, ""},
		{"STREAM_DOWN\t3\t41\t1", "line 8: STREAM_DOWN: 1 unexpected values at the end of the line", ErrTooManyValues, ""},
		{"STREAM_DOWN\t3\t65536", "is not between 0 and 65535", nil, "sidecar"},
		{"STREAM_DOWN\t4\t1", "instance 4 is not known", ErrUnknownInstance, ""},
		{"STREAM_DOWN\t-1\t1", "is not between 0 and 2147483647", nil, "who"},
		{"DOWN\t3\t1", "1 unexpected values at the end of the line", ErrTooManyValues, ""},
		{"DIALLED_IN\t3\tNaN\t1\t41\teast", "is not a finite, non-negative number", nil, "part"},
		{"DIALLED_IN\t3\t6.5\t2\t41\teast", "is not between 0 and 1", nil, "flag"},
		{"DIALLED_IN\t3\t6.5\t1\t41\t-", "is not a name", nil, "dc"},
		{"OFFERED_LOAD\t3\t41\tnone\t9\t0\t1", "is not one of quote", nil, "kind"},
		{"HEALTH_RESULT\t3\tw1\tdelivered\t-1\t-", "elapsedUs", nil, "elapsedUs"},
		{"HEALTH_RESULT\t3\tw1\tdelivered\t1\toutstanding", "is not a name:number pair", nil, "pressure"},
		{"HEALTH_RESULT\t3\tw1\tfine\t1\t-", "is not one of delivered, app_error, shed, expired, dial_failed, dropped, revoked, unused", nil, "code"},
		{"TOPOLOGY\t3\tPartial\t41\t1", "expected an M line", ErrEndpointExpected, ""},
		{"TOPOLOGY\t3\tPartial\t41\t1\nM\t0\teast\t-\tw1\t1\twell\tfast", "is not one of ready, draining, gone", nil, "health"},
		{"TOPOLOGY\t3\tWhole\t41\t0", "is not one of Partial, Complete, Persisted, Error", nil, "scope"},
		{"REMINDER\t3\tx", `line 8: REMINDER: label: "x" is not a whole number`, nil, "label"},
		{"NEW_INSTANCE\t3\t99\t{", "setup:", nil, ""},
		{"NEW_INSTANCE\t3\t99", "setup is missing", ErrTooFewValues, ""},
		{"NEW_INSTANCE\t3", "salt is missing", ErrTooFewValues, ""},
		{"NEW_INSTANCE\t3\tx", `salt: "x" is not a whole number`, nil, "salt"},
		{"NEW_INSTANCE\t3\tx\t" + settingsJSON, `salt: "x" is not a whole number`, nil, "salt"},
		{"SING\t3", "unknown message", ErrUnknownMessage, ""},
	} {
		_, err := serve(startBatch + "BATCH\t2000\n" + bad.line + "\nEOF_BATCH\n")
		if err == nil || !strings.Contains(err.Error(), bad.text) {
			t.Errorf("%q: got error %v, want text %q", bad.line, err, bad.text)
		}
		var line *LineError
		if !errors.As(err, &line) || line.Line < 8 {
			t.Errorf("%q: error %v does not name the line", bad.line, err)
		}
		if bad.sentinel != nil && !errors.Is(err, bad.sentinel) {
			t.Errorf("%q: error %v does not wrap %v", bad.line, err, bad.sentinel)
		}
		var field *FieldError
		if bad.field != "" && (!errors.As(err, &field) || field.Field != bad.field) {
			t.Errorf("%q: error %v does not name field %s", bad.line, err, bad.field)
		}
	}
}

func TestServeReportsInvalidBatches(t *testing.T) {
	for text, want := range map[string]string{
		"BATH\t1\n":       `line 1: expected BATCH, found "BATH"`,
		"BATCH\n":         "line 1: BATCH: too few values: clock is missing",
		"BATCH\t-1\n":     `line 1: BATCH: clock: "-1" is not between 0 and 9223372036854775`,
		"\n\nBATCH\t1\t2": "line 3: BATCH: 1 unexpected values at the end of the line",
	} {
		if _, err := serve(text); err == nil || err.Error() != want {
			t.Errorf("%q: got error %v, want %s", text, err, want)
		}
	}
}

func TestServeRejectsTruncatedInput(t *testing.T) {
	for text, want := range map[string]error{
		"BATCH\t2000\n": ErrTruncatedBatch,
		startBatch + "BATCH\t2000\nTOPOLOGY\t3\tPartial\t41\t1\n": ErrTruncatedList,
	} {
		if _, err := serve(text); !errors.Is(err, want) {
			t.Errorf("%q: got error %v, want %v", text, err, want)
		}
	}
	if out, err := serve("\n"); err != nil || out != "" {
		t.Errorf("input without a batch: got reply %q, error %v", out, err)
	}
}

func TestPanicDisablesOnlyItsInstance(t *testing.T) {
	var out strings.Builder
	h := newHost(strings.NewReader(""), &out)
	h.instances[3] = &managerInstance{}
	h.run(3, func() balancer.Commands { panic("cause\nof it") })
	h.run(3, func() balancer.Commands { panic("again") })
	h.out.Flush()
	if out.String() != "INTERNAL_ERROR\t3\tcause of it\n" {
		t.Errorf("got %q, want one INTERNAL_ERROR line with the first cause", out.String())
	}
}
