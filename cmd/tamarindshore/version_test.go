package main

import (
	"runtime/debug"
	"testing"
)

func TestBuildRevision(t *testing.T) {
	revision := debug.BuildSetting{Key: "vcs.revision", Value: "0123456789abcdef"}
	clean := debug.BuildSetting{Key: "vcs.modified", Value: "false"}
	modified := debug.BuildSetting{Key: "vcs.modified", Value: "true"}
	short := debug.BuildSetting{Key: "vcs.revision", Value: "0123"}
	for _, test := range []struct {
		name     string
		settings []debug.BuildSetting
		want     string
	}{
		{"no revision", nil, "unknown"},
		{"clean tree", []debug.BuildSetting{revision, clean}, "0123456789ab"},
		{"modified tree", []debug.BuildSetting{revision, modified}, "0123456789ab, modified"},
		{"short revision", []debug.BuildSetting{short, clean}, "0123"},
	} {
		if got := buildRevision(test.settings); got != test.want {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}
