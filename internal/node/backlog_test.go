package node

import (
	"reflect"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"tamarindshore/balancer"
	"tamarindshore/internal/commands"
)

var testClasses = []string{"lookup", "book"}

// commandsOfEachKind gives commands of every kind, in the order in which they are carried out.
func commandsOfEachKind() balancer.Commands {
	return balancer.Commands{
		Withdraw:        []balancer.ServerID{"s-1"},
		Weights:         []balancer.EndpointWeight{{Table: 4, Server: "s-2", Weight: 1.5}, {Table: 4, Server: "s-1"}},
		AdmissionLevels: []balancer.AdmissionLevel{{Table: 4, Classes: 1, Amount: 0.9, Retry: balancer.RetryIfNotExecuted}},
		Restore:         []balancer.ServerID{"s-2"},
		Assign:          []balancer.TableAssignment{{Proxy: 17, Table: 4}},
		Barrier:         905,
	}
}

func TestEncodeWritesTheRelaysCommands(t *testing.T) {
	got := strings.Join(encodeCommands(commandsOfEachKind(), testClasses, 60000), ";")
	want := "withdraw,s-1;share,4,s-2,1.5;share,4,s-1,0;admit,4,lookup,0.9,1;restore,s-2;bind,17,4,*;mark,905,0"
	if got != want {
		t.Errorf("%s", got)
	}
}

func TestEncodeStopsAtTheLimit(t *testing.T) {
	for most, want := range map[int]string{60: "withdraw share mark", 1: "withdraw mark"} {
		kinds := []string{}
		for _, one := range encodeCommands(commandsOfEachKind(), testClasses, most) {
			kind, _, _ := strings.Cut(one, ",")
			kinds = append(kinds, kind)
		}
		if got := strings.Join(kinds, " "); got != want {
			t.Errorf("%d bytes: %s", most, got)
		}
	}
}

func TestClassNamesOfAMask(t *testing.T) {
	for mask, want := range map[uint]string{0: "*", 1: "lookup", 2: "book", 3: "*"} {
		if got := classNames(mask, testClasses); got != want {
			t.Errorf("%b: %s", mask, got)
		}
	}
	if got := classNames(5, []string{"x", "y", "z"}); got != "x+z" {
		t.Error(got)
	}
}

func TestSkipAndFirstSplitAtTheSamePlace(t *testing.T) {
	o := commandsOfEachKind()
	all := encodeCommands(o, testClasses, 60000)
	for n := range o.Count() + 1 {
		head := encodeCommands(commands.KeepFirst(o, n, 0), testClasses, 60000)
		tail := encodeCommands(commands.SkipFirst(o, n), testClasses, 60000)
		if got := append(head, tail...); !reflect.DeepEqual(got, all) {
			t.Errorf("at %d: %q", n, got)
		}
	}
	if !commands.IsEmpty(commands.SkipFirst(o, 7)) {
		t.Error("something is left")
	}
}

func TestMergeKeepsTheLatestStateInOrder(t *testing.T) {
	got := commands.Merge(commandsOfEachKind(), balancer.Commands{
		Weights: []balancer.EndpointWeight{{Table: 4, Server: "s-2", Weight: 3}, {Table: 5, Server: "s-2", Weight: 1}},
		AdmissionLevels: []balancer.AdmissionLevel{{Table: 4, Classes: 1, Amount: 1, Retry: balancer.RetryIfNotExecuted},
			{Table: 4, Classes: 2, Amount: 0.5}},
		Restore: []balancer.ServerID{"s-1"}, Assign: []balancer.TableAssignment{{Proxy: 17, Table: 5}}, Barrier: 906,
	}, balancer.Commands{Withdraw: []balancer.ServerID{"s-2"}})
	want := "withdraw,s-2;share,4,s-1,0;share,4,s-2,3;share,5,s-2,1;admit,4,lookup,1,1;admit,4,book,0.5,0;" +
		"restore,s-1;bind,17,5,*;mark,906,0"
	if text := strings.Join(encodeCommands(got, testClasses, 60000), ";"); text != want {
		t.Errorf("%s", text)
	}
}

func TestBacklogIsBounded(t *testing.T) {
	b := newBacklog(2, newMetrics(0, zerolog.Nop()))
	for range 100 {
		b.push(commandsOfEachKind())
	}
	if len(b.queue) > 2 || b.metrics.counts[callsMerged].Load() == 0 {
		t.Errorf("%d wait", len(b.queue))
	}
	if o, ok := b.next(); !ok || o.Count() != commandsOfEachKind().Count() {
		t.Errorf("%+v", o)
	}
}
