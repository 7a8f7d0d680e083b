package main

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

type versionCommand struct{}

// Run prints the version, the revision that it was built from and the tool chain.
func (versionCommand) Run() error {
	revision, changed := "unknown", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			switch {
			case s.Key == "vcs.revision":
				revision = s.Value[:min(12, len(s.Value))]
			case s.Key == "vcs.modified" && s.Value == "true":
				changed = ", changed since"
			}
		}
	}
	fmt.Printf("tamarindshore %s (revision %s%s, %s)\n", release, revision, changed, runtime.Version())
	return nil
}

// release is the newest heading of CHANGELOG.md.
const release = "0.9"
