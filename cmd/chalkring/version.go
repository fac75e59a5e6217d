package main

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

type versionCommand struct{}

// Run prints what was built.
func (versionCommand) Run() error {
	fmt.Printf("chalkring %s, %s, %s/%s\n", buildVersion(), runtime.Version(), runtime.GOOS, runtime.GOARCH)
	return nil
}

// release is the version of a release build, which sets it by -ldflags "-X main.release=2.5".
var release string

// buildVersion returns the release, or else the revision, its time and whether the working tree had changes.
func buildVersion() string {
	if release != "" {
		return release
	}
	info, _ := debug.ReadBuildInfo()
	revision, committedAt, changes := "unknown", "", ""
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			revision = setting.Value
		case "vcs.time":
			committedAt = " of " + setting.Value
		case "vcs.modified":
			if setting.Value == "true" {
				changes = " with changes"
			}
		}
	}
	return revision + committedAt + changes
}
