package platformsettings

import (
	"errors"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"tamarindshore/balancer"
)

const validSettings = `{"zones":["a","b"],"classes":[{"name":"lookup","aimUs":2000000,"hardLimitUs":6000000,"worth":1,"repeat":"idempotent","group":"all","windowUs":5000000},
{"name":"book","aimUs":1000000,"hardLimitUs":4000000,"worth":3,"repeat":"at_most_once"}],"membershipMode":"push","peersTotal":5,"weightSource":"rough",
"domain":{"admit":"share","egressPerS":8600,"queueCap":8600,"envelope":4,"proxies":9,"usualHow":1,"messagesMost":20,"reloadSpanUs":10000000,"lineFee":0.02},
"limits":{"probing":true,"connIdleUs":15000000},"rules":{"coldFrom":0.15,"warmAfterUs":16000000}}`

// checkParsed looks that what passes is within the bounds that the balancer may rely on.
func checkParsed(t *testing.T, text string) {
	t.Helper()
	settings, err := Parse([]byte(text))
	got, names := settings.Balancer, settings.ClassNames
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

func FuzzParse(f *testing.F) {
	f.Add(validSettings)
	f.Add(strings.ReplaceAll(validSettings, "1", "-1"))
	f.Add(`{"classes":[{}]}`)
	f.Fuzz(checkParsed)
}

func TestParseOnNoise(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	words := strings.FieldsFunc(validSettings, func(r rune) bool { return strings.ContainsRune(",:", r) })
	for range 20_000 {
		text := validSettings
		for range 1 + rng.IntN(3) {
			i, j := rng.IntN(len(text)), rng.IntN(len(words))
			text = text[:i] + []string{"", words[j], "-", "9", "e9"}[rng.IntN(5)] + text[min(len(text), i+rng.IntN(3)):]
		}
		checkParsed(t, text)
	}
}

func TestParseNamesTheInvalidKey(t *testing.T) {
	for was, bad := range map[string]struct{ is, key, problem string }{
		`"queueCap":8600`:          {`"queueCap":-1`, "domain.queueCap", "-1 is not from 1e-06 to 1e+12"},
		`"coldFrom":0.15`:          {`"coldFrom":0.15,"drainGraceUs":-1`, "rules.drainGraceUs", "-1 is not from 0 to 1e+15"},
		`"usualHow":1`:             {`"usualHow":4`, "domain.usualHow", "4 is not from 0 to 3"},
		`"proxies":9`:              {`"proxies":65537`, "domain.proxies", "65537 is not from 0 to 65536"},
		`"probing":true`:           {`"probing":1`, "limits.probing", "a number stands where bool is due"},
		`"aimUs":2000000`:          {`"aimUs":0`, "classes[0]", "name, aimUs and hardLimitUs above 0 and worth from 0 are due"},
		`"aimUs":1000000`:          {`"aimUs":0`, "classes[1]", "name, aimUs and hardLimitUs above 0 and worth from 0 are due"},
		`"warmAfterUs":16000000`:   {`"warmAfterUs":"x"`, "rules.warmAfterUs", "a string stands where int64 is due"},
		`"zones":["a","b"]`:        {`"zones":{}`, "zones", "a object stands where []string is due"},
		`"membershipMode":"push"`:  {`"membershipMode":7`, "membershipMode", "a number stands where string is due"},
		`"egressPerS":8600`:        {`"egressPerS":0`, "domain.egressPerS", "0 is not from 1e-06 to 1e+12"},
		`"hardLimitUs":4000000`:    {`"hardLimitUs":1.5`, "classes.hardLimitUs", "a number 1.5 stands where int64 is due"},
		`"reloadSpanUs":10000000,`: {`"reloadSpanUs":-1,`, "domain.reloadSpanUs", "-1 is not from 0 to 1e+15"},
	} {
		if !strings.Contains(validSettings, was) {
			t.Fatalf("no %s", was)
		}
		_, err := Parse([]byte(strings.Replace(validSettings, was, bad.is, 1)))
		var fault *KeyError
		if errors.As(err, &fault) && fault.Within("settings").Error() != "settings."+err.Error() {
			t.Errorf("%s: within settings %v", bad.is, fault.Within("settings"))
		}
		if !errors.As(err, &fault) || *fault != (KeyError{Key: bad.key, Problem: bad.problem}) {
			t.Errorf("%s: %v, not %s: %s", bad.is, err, bad.key, bad.problem)
		}
	}
}

func TestParseNeedsJSONWithAClass(t *testing.T) {
	for text, want := range map[string]string{
		"":               "unexpected end of JSON input",
		"{":              "unexpected end of JSON input",
		"{}":             "domain.egressPerS: 0 is not from 1e-06 to 1e+12",
		`[]`:             "json: cannot unmarshal array into Go value of type platformsettings.wireSettings",
		`{"classes":[]}`: "domain.egressPerS: 0 is not from 1e-06 to 1e+12",
		`{"domain":{"egressPerS":1,"queueCap":1}}`: "classes: 0 is not from 1 to 63",
	} {
		if _, err := Parse([]byte(text)); err == nil || err.Error() != want {
			t.Errorf("%s: %v, not %s", text, err, want)
		}
	}
}

// Guards against one customer's settings that show in another's: what is read twice is equal, whatever came between.
func TestParseKeepsNothing(t *testing.T) {
	first, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	other := strings.NewReplacer(`["a","b"]`, `["hall"]`, `"idempotent"`, `"deduplicated"`, `"lookup"`, `"read"`, `"share"`, `"rate"`).Replace(validSettings)
	theirs, err := Parse([]byte(other))
	if err != nil || len(theirs.Balancer.Zones) != 1 || theirs.Balancer.AdmissionUnit != balancer.AdmitRate ||
		theirs.Balancer.Classes[0].Idempotency != balancer.IdempotencyKeyed {
		t.Fatalf("%+v %v", theirs, err)
	}
	if again, err := Parse([]byte(validSettings)); err != nil || !reflect.DeepEqual(first, again) {
		t.Errorf("%+v, then %+v %v", first, again, err)
	}
}

func TestParseTakesTheGraceOfADrain(t *testing.T) {
	settings, err := Parse([]byte(strings.Replace(validSettings, `"coldFrom":0.15`, `"coldFrom":0.15,"drainGraceUs":3200000`, 1)))
	if grace := settings.Balancer.DrainGrace; err != nil || grace != 3200*time.Millisecond {
		t.Errorf("%v %v", grace, err)
	}
}
