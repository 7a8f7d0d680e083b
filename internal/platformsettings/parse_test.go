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

// checkParsed checks that settings that Parse accepts are within the bounds that the balancer relies on.
func checkParsed(t *testing.T, text string) {
	t.Helper()
	settings, err := Parse([]byte(text))
	got, names := settings.Balancer, settings.ClassNames
	if err != nil {
		if err.Error() == "" {
			t.Errorf("%q: the error has no text", text)
		}
		return
	}
	ok := len(names) == len(got.Classes) && len(names) > 0 && got.CommandsPerSecond > 0 && got.QueueCapacity > 0 && got.MessageOverhead >= 0 && got.Proxies >= 0 &&
		got.DefaultRetryPolicy >= 0 && got.DefaultRetryPolicy <= 3 && got.WarmUpDuration >= 0 && got.MaxMessages >= 0
	for _, class := range got.Classes {
		ok = ok && class.LatencyObjective > 0 && class.Deadline > 0 && class.PriorityWeight >= 0
	}
	if !ok {
		t.Errorf("%q was accepted as %+v, which is out of bounds", text, got)
	}
	balancer.New(1, got).HandleEndpointList(1, true, nil) // must not panic on accepted settings
}

func FuzzParse(f *testing.F) {
	f.Add(validSettings)
	f.Add(strings.ReplaceAll(validSettings, "1", "-1"))
	f.Add(`{"classes":[{}]}`)
	f.Fuzz(checkParsed)
}

func TestParseMutatedSettings(t *testing.T) {
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
	for valid, invalid := range map[string]struct{ text, key, problem string }{
		`"queueCap":8600`:          {`"queueCap":-1`, "domain.queueCap", "-1 is not between 1e-06 and 1e+12"},
		`"coldFrom":0.15`:          {`"coldFrom":0.15,"drainGraceUs":-1`, "rules.drainGraceUs", "-1 is not between 0 and 1e+15"},
		`"usualHow":1`:             {`"usualHow":4`, "domain.usualHow", "4 is not between 0 and 3"},
		`"proxies":9`:              {`"proxies":65537`, "domain.proxies", "65537 is not between 0 and 65536"},
		`"probing":true`:           {`"probing":1`, "limits.probing", "found number, expected bool"},
		`"aimUs":2000000`:          {`"aimUs":0`, "classes[0]", "name, aimUs > 0, hardLimitUs > 0 and worth >= 0 are required"},
		`"aimUs":1000000`:          {`"aimUs":0`, "classes[1]", "name, aimUs > 0, hardLimitUs > 0 and worth >= 0 are required"},
		`"warmAfterUs":16000000`:   {`"warmAfterUs":"x"`, "rules.warmAfterUs", "found string, expected int64"},
		`"zones":["a","b"]`:        {`"zones":{}`, "zones", "found object, expected []string"},
		`"membershipMode":"push"`:  {`"membershipMode":7`, "membershipMode", "found number, expected string"},
		`"egressPerS":8600`:        {`"egressPerS":0`, "domain.egressPerS", "0 is not between 1e-06 and 1e+12"},
		`"hardLimitUs":4000000`:    {`"hardLimitUs":1.5`, "classes.hardLimitUs", "found number 1.5, expected int64"},
		`"reloadSpanUs":10000000,`: {`"reloadSpanUs":-1,`, "domain.reloadSpanUs", "-1 is not between 0 and 1e+15"},
	} {
		if !strings.Contains(validSettings, valid) {
			t.Fatalf("%s is not in the valid settings", valid)
		}
		_, err := Parse([]byte(strings.Replace(validSettings, valid, invalid.text, 1)))
		var keyError *KeyError
		if errors.As(err, &keyError) && keyError.WithPrefix("settings").Error() != "settings."+err.Error() {
			t.Errorf("%s: error with the prefix settings: %v", invalid.text, keyError.WithPrefix("settings"))
		}
		if !errors.As(err, &keyError) || *keyError != (KeyError{Key: invalid.key, Problem: invalid.problem}) {
			t.Errorf("%s: got error %v, want %s: %s", invalid.text, err, invalid.key, invalid.problem)
		}
	}
}

func TestParseRejectsIncompleteSettings(t *testing.T) {
	for text, want := range map[string]string{
		"":               "unexpected end of JSON input",
		"{":              "unexpected end of JSON input",
		"{}":             "domain.egressPerS: 0 is not between 1e-06 and 1e+12",
		`[]`:             "json: cannot unmarshal array into Go value of type platformsettings.wireSettings",
		`{"classes":[]}`: "domain.egressPerS: 0 is not between 1e-06 and 1e+12",
		`{"domain":{"egressPerS":1,"queueCap":1}}`: "classes: 0 is not between 1 and 63",
	} {
		if _, err := Parse([]byte(text)); err == nil || err.Error() != want {
			t.Errorf("%s: got error %v, want %s", text, err, want)
		}
	}
}

// Settings of one site must not show up in those of another: parsing the same text again must give an equal result after
// another text was parsed in between.
func TestParseKeepsNoState(t *testing.T) {
	first, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	other := strings.NewReplacer(`["a","b"]`, `["hall"]`, `"idempotent"`, `"deduplicated"`, `"lookup"`, `"read"`, `"share"`, `"rate"`).Replace(validSettings)
	otherSettings, err := Parse([]byte(other))
	if err != nil || len(otherSettings.Balancer.Zones) != 1 || otherSettings.Balancer.AdmissionUnit != balancer.AdmitRate ||
		otherSettings.Balancer.Classes[0].Idempotency != balancer.IdempotencyKeyed {
		t.Fatalf("settings %+v, error %v", otherSettings, err)
	}
	if again, err := Parse([]byte(validSettings)); err != nil || !reflect.DeepEqual(first, again) {
		t.Errorf("first %+v, then %+v, error %v", first, again, err)
	}
}

func TestParseReadsDrainGrace(t *testing.T) {
	settings, err := Parse([]byte(strings.Replace(validSettings, `"coldFrom":0.15`, `"coldFrom":0.15,"drainGraceUs":3200000`, 1)))
	if grace := settings.Balancer.DrainGrace; err != nil || grace != 3200*time.Millisecond {
		t.Errorf("drain grace %v, error %v", grace, err)
	}
}
