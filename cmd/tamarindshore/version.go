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
	var settings []debug.BuildSetting
	if info, ok := debug.ReadBuildInfo(); ok {
		settings = info.Settings
	}
	fmt.Printf("tamarindshore %s (revision %s, %s)\n", release, revisionOf(settings), runtime.Version())
	return nil
}

// revisionOf is the revision that a program was built from, and whether the source was changed since.
func revisionOf(settings []debug.BuildSetting) string {
	revision := "unknown"
	changed := ""
	for _, setting := range settings {
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
