package simprotocol

import (
	"strings"
	"testing"

	"tamarindshore/balancer"
)

const setup = `{"classes":[{"name":"quote","aimUs":2000000,"hardLimitUs":6000000,"worth":1,"repeat":"idempotent"}],` +
	`"zones":["east"],"domain":{"egressPerS":8600.0,"queueCap":8600.0,"envelope":4,"unknownKey":3},` +
	`"report":{"fields":["outstanding"],"how":"piggyback"},"rules":{"warmAfterUs":16000000},"other":{}}`

const started = "BATCH\t1000\nNEW_INSTANCE\t3\t99\t" + setup + "\nTOPOLOGY\t3\tPersisted\t41\t2\n" +
	"M\t0\teast\t-\tw1\t1\tready\tfast\nM\t0\teast\t6100000\tw2\t1.5\tready\tfast\nEOF_BATCH\n"

func serve(in string) (string, error) {
	var out strings.Builder
	err := Serve(strings.NewReader(in), &out)
	return out.String(), err
}

func TestServeAnswersEachBatchOnce(t *testing.T) {
	out, err := serve(started + "BATCH\t2000\nDIALLED_IN\t3\t6.5\t1\t41\teast\n" +
		"OBSERVED\t3\tw1\t1\t14\t48250\t1000000\teast\toutstanding:7,other:2\nOBSERVED\t3\tgone\t0\t0\t0\t0\teast\t-\n" +
		"OFFERED_LOAD\t3\t41\tquote\t9\t0\t2000000\nREMINDER\t3\t1\n" +
		"TOPOLOGY\t3\tError\t41\t0\nINSTALLED\t3\t41\t1\t400\nHEALTH_RESULT\t3\tw1\texpired\t600000\t-\nEOF_BATCH\n" +
		"BATCH\t60000\nREMINDER\t3\t1\nSTREAM_DOWN\t3\t41\nSTREAM_DOWN\t3\t41\nEOF_BATCH\nBATCH\t61000\nDOWN\t3\nEOF_BATCH\n")
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out, "FINISHED\n"); n != 4 {
		t.Errorf("%d replies to 4 batches", n)
	}
	for _, want := range []string{"SET_WEIGHT\t3\t", "SUBSCRIBE_TO\t3\t0\t41\t0\n", "CHECKPOINT\t3\t1\t0\n", "SLEEP\t3\t1\t"} {
		if !strings.Contains(out, want) {
			t.Errorf("no %q in\n%s", want, out)
		}
	}
}

func TestServeNamesBadLines(t *testing.T) {
	for line, want := range map[string]string{
		"OBSERVED\t3\tw1\t1":                     "line 8: OBSERVED: too few values",
		"STREAM_DOWN\t3\t41\t1":                  "line 8: STREAM_DOWN: 1 values too many",
		"STREAM_DOWN\t3\t65536":                  "is not from 0 to 65535",
		"STREAM_DOWN\t4\t1":                      "instance 4 is not known",
		"DIALLED_IN\t3\tNaN\t1\t41\teast":        "is not a number from 0 up",
		"DIALLED_IN\t3\t6.5\t2\t41\teast":        "is not from 0 to 1",
		"OFFERED_LOAD\t3\t41\tnone\t9\t0\t1":     "is not one of quote",
		"HEALTH_RESULT\t3\tw1\tdelivered\t-1\t-": "elapsedUs",
		"TOPOLOGY\t3\tPartial\t41\t1":            "an M line is due",
		"NEW_INSTANCE\t3\t99\t{":                 "setup:",
		"NEW_INSTANCE\t3\tx\t" + setup:           "salt",
		"SING\t3":                                "no such message",
	} {
		if _, err := serve(started + "BATCH\t2000\n" + line + "\nEOF_BATCH\n"); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, not %q", line, err, want)
		}
	}
}

func TestServeRefusesACutBatch(t *testing.T) {
	if _, err := serve("BATCH\t2000\n"); err == nil {
		t.Error("a batch without its end passed")
	}
	if out, err := serve("\n"); err != nil || out != "" {
		t.Errorf("no batch: %q, %v", out, err)
	}
}

func TestPanicIsAFaultOfThatInstance(t *testing.T) {
	var out strings.Builder
	h := newHost(&out)
	h.managers[3] = &hosted{}
	h.call(3, func() balancer.Commands { panic("cause\nof it") })
	h.call(3, func() balancer.Commands { panic("again") })
	h.out.Flush()
	if out.String() != "INTERNAL_ERROR\t3\tcause of it\n" {
		t.Errorf("%q", out.String())
	}
}
