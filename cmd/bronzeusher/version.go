package main

import (
	"fmt"
	"runtime/debug"

	"bronzeusher.example/bronzeusher/bronzelink"
)

type versionCommand struct{}

// Run prints the build's version and the range of the inner protocol's
// versions that it supports.
func (versionCommand) Run(p *program) (err error) {
	_, err = fmt.Fprintf(p.Stdout, "bronzeusher %s\ninner protocol %d to %d\n",
		buildVersion(), bronzelink.VersionMin, bronzelink.VersionMax)
	return err
}

// buildVersion returns the VCS revision of the build or, if it has none, the
// module's version.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return info.Main.Version
}
