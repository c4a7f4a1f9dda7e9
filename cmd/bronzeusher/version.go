package main

import (
	"fmt"
	"runtime/debug"

	"bronzeusher.example/bronzeusher/bronzelink"
)

type versionCommand struct{}

// Run prints the build's version and the versions that it speaks.
func (versionCommand) Run(p *program) (err error) {
	_, err = fmt.Fprintf(p.Stdout, "bronzeusher %s\ninner protocol %d to %d\n",
		buildVersion(), bronzelink.VersionMin, bronzelink.VersionMax)
	return err
}

// buildVersion returns the module's version, or the revision it was built
// from.
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
