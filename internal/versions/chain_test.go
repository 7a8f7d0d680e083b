package versions

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"tamarindshore/balancer"
	"tamarindshore/client/tables"
)

// fleet is what a test says of servers; those it does not name are open and warm.
type fleet map[balancer.ServerID]ServerStatus

func (f fleet) ServerStatus(s balancer.ServerID) ServerStatus {
	if sight, told := f[s]; told {
		return sight
	}
	return ServerStatus{Known: true, Available: true, WarmFraction: 1}
}
func (f fleet) RequestRate(balancer.TableID) float64 { return 40 }
func (f fleet) ReadyServers() (all, warm int)        { return 4, 3 }

var all = fleet{}

func line(t int, s string, w float64) balancer.EndpointWeight {
	return balancer.EndpointWeight{Table: balancer.TableID(t), Server: balancer.ServerID(s), Weight: w}
}

// chain stands at two tables with two servers each, in its first version.
func chain(t *testing.T) *Chain {
	c := New(DefaultSettings(7))
	r := c.Propose(time.Second, balancer.Commands{Weights: []balancer.EndpointWeight{line(0, "a0", 100), line(0, "a1", 100), line(1, "b0", 100), line(1, "b1", 100)},
		Barrier: 1}, "list", all)
	if r.Modified || r.Version == nil || r.Version.ID != (tables.ID{Epoch: 7, Number: 1}) {
		t.Fatalf("%+v", r)
	}
	return c
}

func either(is bool, a, b int) int {
	if is {
		return a
	}
	return b
}

// Guards against one server or table at fault that holds up the tables of the whole fleet.
func TestAVersionThatFailsACheckIsNotSentAndTheLastStands(t *testing.T) {
	nan := math.NaN()
	for rule, one := range map[string]struct {
		o   balancer.Commands
		see fleet
	}{
		"finite": {balancer.Commands{Weights: []balancer.EndpointWeight{line(0, "a0", nan)}}, all},
		"known":  {balancer.Commands{Weights: []balancer.EndpointWeight{line(0, "ghost", 5)}}, fleet{"ghost": {}}},
		"closed": {balancer.Commands{Weights: []balancer.EndpointWeight{line(0, "a0", 150)}}, fleet{"a0": {Known: true}}},
		"bare":   {balancer.Commands{Weights: []balancer.EndpointWeight{line(0, "a0", 0), line(0, "a1", 0)}}, all},
		"cold":   {balancer.Commands{Weights: []balancer.EndpointWeight{line(0, "a0", 400)}}, fleet{"a0": {Known: true, Available: true, WarmFraction: 0.1}}},
	} {
		c := chain(t)
		before := c.State().Digest()
		one.o.Weights = append(one.o.Weights, line(1, "b0", 90))
		one.o.AdmissionLevels, one.o.Assign, one.o.Barrier = []balancer.AdmissionLevel{{Table: 1, Classes: 1, Amount: 0.5}}, []balancer.TableAssignment{{Proxy: 3, Table: 0}}, 2
		r := c.Propose(2*time.Second, one.o, "health", one.see)
		rest := len(r.Commands.Weights) + len(r.Commands.AdmissionLevels) // of another table: held back only where the version can't be read
		if !r.Modified || (c.State().Digest() == before) != (rule == "finite") || rest != either(rule == "finite", 0, 2) || c.State().Table(0).Weights["a0"] != 100 {
			t.Errorf("%s: %+v", rule, r)
		}
		if len(r.Notes) != 1 || !strings.HasPrefix(r.Notes[0], "version held back by "+rule+": ") {
			t.Errorf("%s: %q", rule, r.Notes)
		}
		if len(r.Commands.Assign) != 1 || r.Commands.Barrier != 2 {
			t.Errorf("%s: a proxy waits for a server: %+v", rule, r.Commands)
		}
		if again := c.Propose(3*time.Second, one.o, "health", one.see); len(again.Notes) > 0 {
			t.Errorf("%s: told again: %q", rule, again.Notes)
		}
	}
}

func TestADrainIsNotHeldUpByAFailedCheckOfSomethingElse(t *testing.T) {
	c := chain(t)
	r := c.Propose(2*time.Second, balancer.Commands{Withdraw: []balancer.ServerID{"a0"}, Weights: []balancer.EndpointWeight{line(0, "a0", 1), line(1, "b0", math.Inf(1))}},
		"list", fleet{"a0": {Known: true}})
	if r.Version == nil || !slices.Equal(r.Commands.Withdraw, []balancer.ServerID{"a0"}) || len(r.Commands.Weights) != 1 || !c.State().IsWithdrawn("a0") {
		t.Errorf("%+v", r)
	}
	if c.State().Table(1).Weights["b0"] != 100 {
		t.Error("the faulty line stands")
	}
}

func TestATableWithoutALineIsLaidAtOnce(t *testing.T) {
	c := chain(t)
	gone := fleet{"a0": {Known: true}, "a1": {Known: true}}
	r := c.Propose(2*time.Second, balancer.Commands{Withdraw: []balancer.ServerID{"a0", "a1"}, Weights: []balancer.EndpointWeight{line(0, "b0", 100), line(1, "b1", math.NaN())}}, "list", gone)
	if len(r.Commands.Weights) != 1 || c.State().Table(0).Weights["b0"] != 100 {
		t.Errorf("%+v", r.Commands)
	}
}

// Guards against a line that must go out whatever else, of which a check holds up the whole fleet.
func TestWhatIsUrgentHoldsUpNothingElse(t *testing.T) {
	c := chain(t)
	see := fleet{"a0": {Known: true}, "a1": {Known: true}, "c0": {Known: true, Available: true, WarmFraction: 0.01}}
	r := c.Propose(2*time.Second, balancer.Commands{Withdraw: []balancer.ServerID{"a0", "a1"}, Weights: []balancer.EndpointWeight{line(0, "c0", 100), line(1, "b0", 90)}}, "list", see)
	if r.Modified || len(r.Commands.Weights) != 2 {
		t.Errorf("%+v", r)
	}
}

func TestAVersionThatMovesTooMuchGoesInSteps(t *testing.T) {
	c := chain(t)
	c.t.MaxMovedFraction = 0.1
	want := []balancer.EndpointWeight{line(0, "a0", 10), line(0, "a1", 190)}
	steps := 0
	for s := 2; s < 20 && c.State().Table(0).Weights["a0"] > 10.5; s++ {
		before := c.State()
		r := c.Propose(time.Duration(s)*time.Second, balancer.Commands{Weights: slices.Clone(want)}, "health", all)
		moved := (&proposal{now: before, next: c.State(), see: all}).moved(0)
		if r.Version == nil || moved > 0.21 { // 0.1 of all flows, of which half come to this table
			t.Fatalf("%.2f moved at once", moved)
		}
		steps++
	}
	if steps < 3 || steps > 6 {
		t.Errorf("%d steps", steps)
	}
	// what a closed server leaves is no move
	c = chain(t)
	c.t.MaxMovedFraction = 0.2
	if r := c.Propose(2*time.Second, balancer.Commands{Weights: []balancer.EndpointWeight{line(0, "a0", 0)}}, "silence", fleet{"a0": {Known: true}}); r.Modified {
		t.Errorf("%+v", r)
	}
}

// Guards against a jump, once a hold ends, to what was decided meanwhile.
func TestAfterAHoldVersionsGoBySmallSteps(t *testing.T) {
	c := chain(t)
	level := func(amount float64) []balancer.AdmissionLevel {
		return []balancer.AdmissionLevel{{Table: 0, Classes: 1, Amount: amount}}
	}
	c.Propose(time.Second, balancer.Commands{AdmissionLevels: level(0.5)}, "line", all)
	c.hold = &hold{until: 2 * time.Second, pin: PinnedTables{}}
	if ended, _ := c.ExpireHold(2*time.Second, all); !ended {
		t.Fatal("the hold does not end")
	}
	was := *c
	c.hold = &hold{until: time.Minute, pin: PinnedTables{}}
	c.Propose(2*time.Second, balancer.Commands{Weights: []balancer.EndpointWeight{line(0, "a0", 10), line(0, "a1", 190)}}, "way back", all)
	if got := c.State().Table(0).Weights["a0"]; got != 10 {
		t.Errorf("a way back goes by steps, to %v", got)
	}
	*c = was
	steps := 0
	for s := 3; s < 20 && c.State().Table(0).Weights["a0"] > 10.5; s++ {
		before := c.State()
		o := balancer.Commands{Weights: []balancer.EndpointWeight{line(0, "a0", 10), line(0, "a1", 190)}, AdmissionLevels: level(1)}
		c.Propose(time.Duration(s)*time.Second, o, "pin", all)
		moved := (&proposal{now: before, next: c.State(), see: all}).moved(0)
		let := c.State().Table(0).AdmissionLevels[1].Amount - before.Table(0).AdmissionLevels[1].Amount
		if moved > 0.21 || let > 0.11 { // a tenth of all flows, of which half come to this table
			t.Fatalf("%.2f moved and %.2f more let in at once", moved, let)
		}
		steps++
	}
	c.Propose(30*time.Second, balancer.Commands{Weights: []balancer.EndpointWeight{line(0, "a0", 10), line(0, "a1", 190)}}, "health", all)
	c.Propose(31*time.Second, balancer.Commands{Weights: []balancer.EndpointWeight{line(0, "a0", 190), line(0, "a1", 10)}, AdmissionLevels: level(1)}, "health", all)
	if steps < 3 || c.State().Table(0).Weights["a0"] != 190 {
		t.Errorf("%d steps, and then to %v", steps, c.State().Table(0).Weights)
	}
}

func TestAWayBackTakesEffectOnceAndKeepsTodaysTruth(t *testing.T) {
	c := chain(t)
	first := c.Head().ID
	c.Propose(2*time.Second, balancer.Commands{Weights: []balancer.EndpointWeight{line(0, "a0", 20), line(1, "b0", 20)}, Barrier: 2}, "health", all)
	today := fleet{"b0": {Known: true}, "b1": {Known: true, Available: true, WarmFraction: 0.25}}
	d, fresh, err := c.RollBack(3*time.Second, first, "k1", 0, today)
	pin, held := c.Pinned()
	if err != nil || !fresh || !held || d.Key != "k1" {
		t.Fatal(d, fresh, err)
	}
	if pin.Weights[0]["a0"] != 100 || pin.Weights[1]["b0"] != 0 || pin.Weights[1]["b1"] != 25 {
		t.Errorf("%v", pin.Weights)
	}
	c.Propose(4*time.Second, balancer.Commands{Weights: []balancer.EndpointWeight{line(0, "a0", 100)}}, "pin", today)
	if v := c.Head(); v.CommandKey != "k1" || v.ID.Number != 3 {
		t.Errorf("%+v", v)
	}
	if again, fresh, err := c.RollBack(9*time.Second, first, "k1", 0, today); fresh || err != nil || again != d {
		t.Errorf("%+v %v %v", again, fresh, err)
	}
	if _, _, err := c.RollBack(9*time.Second, c.Head().ID, "k1", 0, today); !errors.Is(err, ErrRefused) {
		t.Errorf("a key serves for two: %v", err)
	}
}

func TestOfTwoWaysBackTheLaterHolds(t *testing.T) {
	c := chain(t)
	first := c.Head().ID
	c.Propose(2*time.Second, balancer.Commands{Weights: []balancer.EndpointWeight{line(0, "a0", 20)}}, "health", all)
	second := c.Head().ID
	c.RollBack(3*time.Second, first, "x", 0, all)
	c.RollBack(3*time.Second, second, "y", 0, all)
	if h, _ := c.CurrentHold(all); h.Key != "y" || h.Target != second || len(c.CompletedCommands()) != 2 {
		t.Errorf("%+v %v", h, c.CompletedCommands())
	}
	if _, fresh, err := c.RollBack(4*time.Second, first, "x", 0, all); fresh || err != nil {
		t.Errorf("the first takes effect again: %v", err)
	}
}

func TestRefusedWaysBack(t *testing.T) {
	c := chain(t)
	first := c.Head().ID
	none := fleet{"a0": {Known: true}, "a1": {}}
	for want, do := range map[string]func() error{
		"all 2 that it named then are gone": func() error { _, _, err := c.RollBack(0, first, "k", 0, none); return err },
		"is not kept":                       func() error { _, _, err := c.RollBack(0, tables.ID{Epoch: 1, Number: 1}, "k", 0, all); return err },
		"a key of 1 to 64":                  func() error { _, _, err := c.RollBack(0, first, "", 0, all); return err },
		"a hold lasts from":                 func() error { _, _, err := c.RollBack(0, first, "k", time.Millisecond, all); return err },
		"nothing is held":                   func() error { _, _, err := c.Resume(0, "k"); return err },
		"laid out otherwise": func() error {
			other := chain(t)
			other.SetLayout("3 blocks")
			_, _, err := other.RollBack(0, first, "k", 0, all)
			return err
		},
	} {
		if err := do(); !errors.Is(err, ErrRefused) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	if _, held := c.Pinned(); held || len(c.CompletedCommands()) != 0 {
		t.Error("something was done")
	}
}

func TestAHoldEndsByTimeCommandOrItsHollowing(t *testing.T) {
	c := chain(t)
	c.Hold(0, "h1", time.Minute, all)
	if ended, _ := c.ExpireHold(59*time.Second, all); ended {
		t.Error("ended early")
	}
	if ended, notes := c.ExpireHold(time.Minute, all); !ended || len(notes) != 1 {
		t.Errorf("%v", notes)
	}
	c.Hold(0, "h2", time.Minute, all)
	most := fleet{"a0": {Known: true}, "a1": {Known: true}, "b0": {Known: true}}
	if ended, notes := c.ExpireHold(time.Second, most); !ended || !strings.Contains(notes[0], "0.25 of its weight") {
		t.Errorf("%v", notes)
	}
	c.Hold(0, "h3", time.Minute, all)
	if _, fresh, err := c.Resume(0, "r"); !fresh || err != nil {
		t.Error(err)
	}
	if _, held := c.Pinned(); held {
		t.Error("still held")
	}
}

func TestAnUnknownOutcomeLeavesEitherBase(t *testing.T) {
	c := chain(t)
	c.HandleBarrierAck(time.Second, 1)
	c.Propose(2*time.Second, balancer.Commands{Weights: []balancer.EndpointWeight{line(0, "a0", 20)}, Barrier: 2}, "health", all)
	c.Propose(3*time.Second, balancer.Commands{Weights: []balancer.EndpointWeight{line(0, "a0", 30)}, Barrier: 3}, "health", all)
	id := func(n uint64) tables.ID { return tables.ID{Epoch: 7, Number: n} }
	if got := c.PossibleBases(); !slices.Equal(got, []tables.ID{id(3), id(2), id(1)}) {
		t.Errorf("%v", got)
	}
	c.HandleBarrierAck(4*time.Second, 3)
	if got := c.PossibleBases(); !slices.Equal(got, []tables.ID{id(3)}) {
		t.Errorf("%v", got)
	}
}

func TestWhatIsKeptIsBounded(t *testing.T) {
	c := chain(t)
	c.t.MaxVersions, c.t.MaxVersionBytes = 50, 1<<14
	for i := range 500 {
		c.Propose(time.Duration(i)*time.Second, balancer.Commands{Weights: []balancer.EndpointWeight{line(i%2, "a0", float64(100+i))}}, "health", all)
	}
	if n := len(c.Versions()); n > 50 || n < 10 || c.size > 1<<14 {
		t.Errorf("%d versions in %d bytes", n, c.size)
	}
	sum := 0
	for _, v := range c.Versions() {
		sum += v.size
	}
	if sum != c.size || c.Head().ID.Number != 500 {
		t.Errorf("%d counted as %d, head %v", sum, c.size, c.Head().ID)
	}
}

func TestNothingNewIsNoVersion(t *testing.T) {
	c := chain(t)
	if r := c.Propose(2*time.Second, balancer.Commands{Weights: []balancer.EndpointWeight{line(0, "a0", 100)}, Assign: []balancer.TableAssignment{{}}, Barrier: 4}, "x", all); r.Version != nil || r.Modified {
		t.Errorf("%+v", r)
	}
}

func TestADrainOutlivesAListThatIsOlderThanIt(t *testing.T) {
	began := time.Unix(1000, 0)
	drains := map[string]time.Time{"old": began.Add(-5 * time.Second), "fresh": began.Add(-5 * time.Second)}
	list := []balancer.Endpoint{{Server: "old", RecentlyStarted: true, Started: -time.Minute}, {Server: "fresh", RecentlyStarted: true, Started: -time.Second}, {Server: "other"}}
	got := ApplyStoredDrains(list, drains, began)
	if got[0].State != balancer.Draining || got[1].State != balancer.Ready || got[2].State != balancer.Ready || list[0].State != balancer.Ready {
		t.Errorf("%+v", got)
	}
}

func BenchmarkPropose(b *testing.B) {
	for _, lines := range []int{50, 500, 5000} {
		b.Run(fmt.Sprint(lines), func(b *testing.B) {
			c := New(DefaultSettings(1))
			var o balancer.Commands
			for i := range lines {
				o.Weights = append(o.Weights, line(i/50, fmt.Sprintf("s-%05d", i), 100))
			}
			c.Propose(0, o, "list", all)
			i := 0
			for b.Loop() {
				i++
				o := balancer.Commands{}
				for j := range max(1, lines/100) {
					o.Weights = append(o.Weights, line(j*2, fmt.Sprintf("s-%05d", j*100), float64(100+i%7)))
				}
				if r := c.Propose(0, o, "health", all); r.Version == nil && i%7 != 0 {
					b.Fatalf("%+v", r)
				}
			}
		})
	}
}
