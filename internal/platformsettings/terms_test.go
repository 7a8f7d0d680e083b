package platformsettings

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"tamarindshore/balancer"
)

const usual = `{"zones":["a","b"],"classes":[{"name":"lookup","aimUs":2000000,"hardLimitUs":6000000,"worth":1,"repeat":"idempotent","group":"all","windowUs":5000000},
{"name":"book","aimUs":1000000,"hardLimitUs":4000000,"worth":3,"repeat":"at_most_once"}],"membershipMode":"push","peersTotal":5,"weightSource":"rough",
"domain":{"admit":"share","egressPerS":8600,"queueCap":8600,"envelope":4,"proxies":9,"usualHow":1,"messagesMost":20,"reloadSpanUs":10000000,"lineFee":0.02},
"limits":{"probing":true,"connIdleUs":15000000},"rules":{"coldFrom":0.15,"warmAfterUs":16000000}}`

// check looks that what passes is within the bounds that the module may rely on.
func check(t *testing.T, text string) {
	got, names, err := Parse([]byte(text))
	if err != nil {
		if err.Error() == "" {
			t.Errorf("%q: an error that says nothing", text)
		}
		return
	}
	ok := len(names) == len(got.Classes) && len(names) > 0 && got.CommandsPerSecond > 0 && got.QueueCapacity > 0 && got.MessageOverhead >= 0 && got.Proxies >= 0 &&
		got.DefaultRetryPolicy >= 0 && got.DefaultRetryPolicy <= 3 && got.WarmUpDuration >= 0 && got.MaxMessages >= 0
	for _, g := range got.Classes {
		ok = ok && g.LatencyObjective > 0 && g.Deadline > 0 && g.PriorityWeight >= 0
	}
	if !ok {
		t.Errorf("%q passed as %+v", text, got)
	}
	balancer.New(1, got).HandleEndpointList(1, true, nil) // it can be started with
}

func FuzzRead(f *testing.F) {
	f.Add(usual)
	f.Add(strings.ReplaceAll(usual, "1", "-1"))
	f.Add(`{"classes":[{}]}`)
	f.Fuzz(check)
}

func TestReadOnNoise(t *testing.T) {
	chance := rand.New(rand.NewPCG(5, 6))
	words := strings.FieldsFunc(usual, func(r rune) bool { return strings.ContainsRune(",:", r) })
	for range 20_000 {
		text := usual
		for range 1 + chance.IntN(3) {
			i, j := chance.IntN(len(text)), chance.IntN(len(words))
			text = text[:i] + []string{"", words[j], "-", "9", "e9"}[chance.IntN(5)] + text[min(len(text), i+chance.IntN(3)):]
		}
		check(t, text)
	}
}

func TestReadNamesTheFaultyKey(t *testing.T) {
	for was, is := range map[string][2]string{
		`"queueCap":8600`:          {`"queueCap":-1`, "domain.queueCap: "},
		`"coldFrom":0.15`:          {`"coldFrom":0.15,"drainGraceUs":-1`, "rules.drainGraceUs: "},
		`"usualHow":1`:             {`"usualHow":4`, "domain.usualHow: "},
		`"probing":true`:           {`"probing":1`, "limits.probing: "},
		`"aimUs":2000000`:          {`"aimUs":0`, "classes[0]: "},
		`"warmAfterUs":16000000`:   {`"warmAfterUs":"x"`, "rules.warmAfterUs: "},
		`"zones":["a","b"]`:        {`"zones":{}`, "zones: "},
		`"membershipMode":"push"`:  {`"membershipMode":7`, "membershipMode: "},
		`"egressPerS":8600`:        {`"egressPerS":0`, "domain.egressPerS: "},
		`"hardLimitUs":4000000`:    {`"hardLimitUs":1.5`, "classes.hardLimitUs: "},
		`"reloadSpanUs":10000000,`: {`"reloadSpanUs":-1,`, "domain.reloadSpanUs: "},
	} {
		if !strings.Contains(usual, was) {
			t.Fatalf("no %s", was)
		}
		if _, _, err := Parse([]byte(strings.Replace(usual, was, is[0], 1))); err == nil || !strings.HasPrefix(err.Error(), is[1]) {
			t.Errorf("%s: %v", is[0], err)
		}
	}
}

// Guards against one customer's settings that show in another's: what is read twice is equal, whatever came between.
func TestReadKeepsNothing(t *testing.T) {
	first, names, err := Parse([]byte(usual))
	if err != nil {
		t.Fatal(err)
	}
	other := strings.NewReplacer(`["a","b"]`, `["hall"]`, `"idempotent"`, `"deduplicated"`, `"lookup"`, `"read"`, `"share"`, `"rate"`).Replace(usual)
	theirs, _, err := Parse([]byte(other))
	if err != nil || len(theirs.Zones) != 1 || theirs.AdmissionUnit != balancer.AdmitRate || theirs.Classes[0].Idempotency != balancer.IdempotencyKeyed {
		t.Fatalf("%+v %v", theirs, err)
	}
	again, names2, _ := Parse([]byte(usual))
	if !slices.Equal(first.Zones, again.Zones) || !slices.Equal(first.Classes, again.Classes) || !slices.Equal(names, names2) || first.AdmissionUnit != again.AdmissionUnit {
		t.Errorf("%+v, then %+v", first, again)
	}
}

func TestReadTakesTheGraceOfADrain(t *testing.T) {
	told, _, err := Parse([]byte(strings.Replace(usual, `"coldFrom":0.15`, `"coldFrom":0.15,"drainGraceUs":3200000`, 1)))
	if err != nil || told.DrainGrace != 3200*time.Millisecond {
		t.Errorf("%v %v", told.DrainGrace, err)
	}
}
