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

// commandsOfEachKind returns commands of every kind, in the order in which they are carried out.
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
		t.Errorf("encoded %s, want %s", got, want)
	}
}

func TestEncodeStopsAtTheLimit(t *testing.T) {
	for limit, want := range map[int]string{60: "withdraw share mark", 1: "withdraw mark"} {
		kinds := []string{}
		for _, command := range encodeCommands(commandsOfEachKind(), testClasses, limit) {
			kind, _, _ := strings.Cut(command, ",")
			kinds = append(kinds, kind)
		}
		if got := strings.Join(kinds, " "); got != want {
			t.Errorf("limit of %d bytes: encoded %s, want %s", limit, got, want)
		}
	}
}

func TestClassNamesOfAMask(t *testing.T) {
	for mask, want := range map[uint]string{0: "*", 1: "lookup", 2: "book", 3: "*"} {
		if got := classNames(mask, testClasses); got != want {
			t.Errorf("classes of mask %b: %s, want %s", mask, got, want)
		}
	}
	if got := classNames(5, []string{"x", "y", "z"}); got != "x+z" {
		t.Errorf("classes of mask 101: %s, want x+z", got)
	}
}

func TestKeepFirstAndSkipFirstAreComplementary(t *testing.T) {
	cmds := commandsOfEachKind()
	all := encodeCommands(cmds, testClasses, 60000)
	for n := range cmds.Count() + 1 {
		head := encodeCommands(commands.KeepFirst(cmds, n, 0), testClasses, 60000)
		tail := encodeCommands(commands.SkipFirst(cmds, n), testClasses, 60000)
		if got := append(head, tail...); !reflect.DeepEqual(got, all) {
			t.Errorf("split after %d commands: %q, want %q", n, got, all)
		}
	}
	if !commands.IsEmpty(commands.SkipFirst(cmds, 7)) {
		t.Error("commands are left after skipping more than there are")
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
		t.Errorf("merged to %s, want %s", text, want)
	}
}

func TestBacklogIsBounded(t *testing.T) {
	b := newBacklog(2, newMetrics(0, zerolog.Nop()))
	for range 100 {
		b.push(commandsOfEachKind())
	}
	if len(b.queue) > 2 || b.metrics.counts[callsMerged].Load() == 0 {
		t.Errorf("%d batches queued, want at most 2 after a merge", len(b.queue))
	}
	if cmds, ok := b.next(); !ok || cmds.Count() != commandsOfEachKind().Count() {
		t.Errorf("commands %+v, want one of each kind", cmds)
	}
}
