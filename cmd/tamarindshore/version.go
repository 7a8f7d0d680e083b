package main

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

type versionCommand struct{}

// revisionDigits is the length at which a revision is printed.
const revisionDigits = 12

// Run prints the version, the revision that it was built from and the tool chain.
func (versionCommand) Run() error {
	fmt.Printf("tamarindshore %s (revision %s, %s)\n", release, buildRevision(), runtime.Version())
	return nil
}

// buildRevision is the revision that the program was built from, and whether the source was changed since.
func buildRevision() string {
	revision := "unknown"
	changed := ""
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return revision
	}
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			revision = setting.Value[:min(revisionDigits, len(setting.Value))]
		case setting.Key == "vcs.modified" && setting.Value == "true":
			changed = ", changed since"
		}
	}
	return revision + changed
}

// release is the newest heading of CHANGELOG.md.
const release = "0.9"
