package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzeedge"
)

type checkCommand struct {
	Files    []string `arg:"" optional:"" name:"file" type:"existingfile" help:"Files with one record each; a record's name is the file's without its extension."`
	Settings []string `type:"existingfile" help:"Files with settings of bronzeedge."`
}

// Run lists every fault of the records, each on its own and all together, and
// the first fault of each settings file.
func (c *checkCommand) Run(p *program) (err error) {
	faults := 0
	for _, file := range c.Settings {
		if _, err = bronzeedge.ReadConfig(file); err == nil {
			continue
		}
		faults++
		if _, err = fmt.Fprintln(p.Stdout, err); err != nil {
			return err
		}
	}
	if faults > 0 {
		return errFailed
	}
	if len(c.Files) == 0 {
		_, err = fmt.Fprintf(p.Stdout, "%d settings, no faults\n", len(c.Settings))
		return err
	}
	return c.checkRecords(p)
}

func (c *checkCommand) checkRecords(p *program) (err error) {
	records, err := readRecords(c.Files)
	if err != nil {
		return err
	}
	refusals := bronzeconf.CheckRecords(records)
	for i := range refusals {
		if _, err = fmt.Fprintln(p.Stdout, refusals[i].Error()); err != nil {
			return err
		}
	}
	if len(refusals) > 0 {
		return errFailed
	}
	_, err = fmt.Fprintf(p.Stdout, "%d records, no faults\n", len(records))
	return err
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

// readRecord reads at most a byte over the limit, which is enough to refuse
// the record.
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
