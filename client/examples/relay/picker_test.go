package main

import (
	"testing"

	"tamarindshore/client/tables"
)

func TestServersArePickedByWeight(t *testing.T) {
	state, err := tables.EmptyState().Apply([]tables.Op{
		{Kind: tables.SetWeight, Table: 1, Server: "a", Weight: 1},
		{Kind: tables.SetWeight, Table: 1, Server: "b", Weight: 3},
		{Kind: tables.SetWeight, Table: 1, Server: "withdrawn", Weight: 100},
		{Kind: tables.Withdraw, Server: "withdrawn"},
	})
	if err != nil {
		t.Fatal(err)
	}
	p := newPicker(state, 1)
	for random, want := range map[float64]string{0: "a", 0.2: "a", 0.3: "b", 0.9999: "b"} {
		if server, found := p.pick(random); server != want || !found {
			t.Errorf("random number %v: picked %q (found: %v), want %q", random, server, found, want)
		}
	}
}

func TestEmptyTableHasNoServerToPick(t *testing.T) {
	for _, p := range []*picker{nil, newPicker(tables.EmptyState(), 1)} {
		if server, found := p.pick(0.5); found {
			t.Errorf("picked %q from an empty table", server)
		}
	}
}
