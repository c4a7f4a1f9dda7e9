package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzeedge"
	"bronzeusher.example/bronzeusher/platform"
)

type checkCommand struct {
	Files    []string `arg:"" optional:"" name:"file" type:"existingfile" help:"Files with one record each; a record's name is the file's without its extension."`
	Settings []string `type:"existingfile" help:"Files with settings of bronzeedge."`
	Deploy   string   `type:"existingfile" help:"Deploy file of the platform; its templates are looked for from this folder."`
}

// Run prints the first fault of each settings file and every fault of the
// deploy file and of the records, which are checked one by one and for conflicts
// with each other. If there are none, it prints the operators' orders in the
// files.
func (c *checkCommand) Run(p *program) (err error) {
	faults, err := c.faults()
	if err != nil {
		return err
	}
	for _, fault := range faults {
		if _, err = fmt.Fprintln(p.Stdout, fault); err != nil {
			return err
		}
	}
	if len(faults) > 0 {
		return errFailed
	}
	lines, err := c.orders(time.Now())
	if err != nil {
		return err
	}
	for _, line := range append(lines, c.checked()+", no faults") {
		if _, err = fmt.Fprintln(p.Stdout, line); err != nil {
			return err
		}
	}
	return nil
}

// checked says how much was checked.
func (c *checkCommand) checked() string {
	if len(c.Files) > 0 {
		return fmt.Sprintf("%d records", len(c.Files))
	}
	files := len(c.Settings)
	if c.Deploy != "" {
		files++
	}
	return fmt.Sprintf("%d files", files)
}

// faults returns the faults of the settings files, the deploy file and the records.
func (c *checkCommand) faults() (faults []string, err error) {
	for _, file := range c.Settings {
		if _, err := bronzeedge.ReadConfig(file); err != nil {
			faults = append(faults, err.Error())
		}
	}
	deployFaults, err := c.deployFaults()
	if err != nil {
		return nil, err
	}
	records, err := readRecords(c.Files)
	if err != nil {
		return nil, err
	}
	faults = append(faults, deployFaults...)
	refusals := bronzeconf.CheckRecords(records)
	for i := range refusals {
		faults = append(faults, refusals[i].Error())
	}
	return faults, nil
}

// deployFaults returns the faults of the deploy file, if one is given.
func (c *checkCommand) deployFaults() (faults []string, err error) {
	if c.Deploy == "" {
		return nil, nil
	}
	body, err := os.ReadFile(c.Deploy)
	if err != nil {
		return nil, errors.Wrap(err, "read deploy file")
	}
	for _, fault := range platform.CheckDeploy(body, ".") {
		faults = append(faults, c.Deploy+": "+fault)
	}
	return faults, nil
}

func readRecords(files []string) (records []bronzeconf.Record, err error) {
	for _, file := range files {
		body, err := readRecord(file)
		if err != nil {
			return nil, err
		}
		records = append(records, bronzeconf.Record{Name: recordName(file), Body: body})
	}
	return records, nil
}

// readRecord reads at most one byte more than bronzeconf.MaxRecordBytes, which
// is enough for the record to be refused.
func readRecord(file string) (body []byte, err error) {
	defer func() { err = errors.Wrap(err, "read record") }()
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return io.ReadAll(io.LimitReader(f, bronzeconf.MaxRecordBytes+1))
}

func recordName(file string) string {
	base := filepath.Base(file)
	return strings.TrimSuffix(base, filepath.Ext(base))
}
