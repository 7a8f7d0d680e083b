package main

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

type versionCommand struct{}

// revisionDigits is the maximum length of a printed revision.
const revisionDigits = 12

// Run prints the version, the source revision of the build and the Go version.
func (versionCommand) Run() error {
	var settings []debug.BuildSetting
	if info, ok := debug.ReadBuildInfo(); ok {
		settings = info.Settings
	}
	fmt.Printf("tamarindshore %s (revision %s, %s)\n", release, buildRevision(settings), runtime.Version())
	return nil
}

// buildRevision returns the source revision of a build, and notes if the source had uncommitted changes.
func buildRevision(settings []debug.BuildSetting) string {
	revision := "unknown"
	note := ""
	for _, setting := range settings {
		switch {
		case setting.Key == "vcs.revision":
			revision = setting.Value[:min(revisionDigits, len(setting.Value))]
		case setting.Key == "vcs.modified" && setting.Value == "true":
			note = ", modified"
		}
	}
	return revision + note
}

// release is the current version; it must equal the newest heading of CHANGELOG.md.
const release = "0.9"
