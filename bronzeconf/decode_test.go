package bronzeconf

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// edited returns a valid record of version 2 with old replaced by replacement.
func edited(t testing.TB, old, replacement string) []byte {
	v := testService("agency", "map-live", 1)
	v.Pool = append(v.Pool, testServer("map-live-2", 2))
	good := string(body(t, v))
	require.Contains(t, good, old)
	return []byte(strings.Replace(good, old, replacement, 1))
}

func TestDecodeFaults(t *testing.T) {
	tests := []struct {
		old, replacement string
		field, reason    string
	}{
		{`"SchemaVersion":2`, `"SchemaVersion":4`, "SchemaVersion", "4 is too new"},
		{`"SchemaVersion":2`, `"SchemaVersion":0`, "SchemaVersion", "0 is unknown"},
		{`"SchemaVersion":2`, `"SchemaVersion":"2"`, "SchemaVersion", "is not a whole number"},
		{`"SchemaVersion":2,`, ``, "SchemaVersion", "is missing"},
		{`"Customer":"agency"`, `"customer":"agency","Customer":"agency"`, "customer", "is not a field"},
		{`"Customer":"agency"`, `"Customer":"agency","Customer":"agency"`, "Customer", "is given twice"},
		{`"Customer":"agency"`, `"Customer":"a/gency"`, "Customer", "contains a slash"},
		{`"Customer":"agency"`, `"Customer":""`, "Customer", "is empty"},
		{`"Name":"map-live"`, `"Name":" map-live"`, "Name", "begins or ends with a space"},
		{`"Name":"map-live"`, `"Name":"map\u0000live"`, "Name", "can't be printed"},
		{`"Name":"map-live"`, `"Name":null`, "Name", "is not a string"},
		{`["203.0.113.1"]`, `[]`, "Addresses", "is empty"},
		{`["203.0.113.1"]`, `"203.0.113.1"`, "Addresses", "is not an array"},
		{`["203.0.113.1"]`, `["203.0.113"]`, "Addresses[0]", "203.0.113"},
		{`["203.0.113.1"]`, `["203.0.113.1","::ffff:203.0.113.1"]`, "Addresses[1]", "is given twice"},
		{`["203.0.113.1"]`, `["fe80::1%eth0"]`, "Addresses[0]", "has an IPv6 zone"},
		{`["203.0.113.1"]`, `["0.0.0.0"]`, "Addresses[0]", "is not a unicast address"},
		{`"Protocol":"TCP"`, `"Protocol":"SCTP"`, "Rules[0].Protocol", "is neither TCP nor UDP"},
		{`"Port":443`, `"Port":0`, "Rules[0].Port", "is 0"},
		{`"Port":443`, `"Port":65536`, "Rules[0].Port", "is not a whole number from 0 to 65535"},
		{`{"Protocol":"TCP","Port":443}`, `{"Protocol":"TCP","Port":443},{"Port":443,"Protocol":"TCP"}`, "Rules[1]", "is given twice"},
		{`"Instance":"map-live-2"`, `"Instance":"map-live-1"`, "Pool[1].Instance", "is given twice"},
		{`10.0.0.2:6080`, `10.0.0.1:6080`, "Pool[1].Address", "is given twice"},
		{`10.0.0.2:6080`, `10.0.0.2:0`, "Pool[1].Address", "has port 0"},
		{`10.0.0.2:6080`, `host:6080`, "Pool[1].Address", "host:6080"},
		{`"Slots":2`, `"Slots":-2`, "Pool[0].Slots", "is negative"},
		{`"Slots":2`, `"Slots":2.5`, "Pool[0].Slots", "is not a whole number"},
		{`"Slots":2`, `"Slots":2,"Weight":1`, "Pool[0].Weight", "is not a field"},
		{`"Slots":2`, `"Slots":2,"Status":"Gone"`, "Pool[0].Status", "is neither Serving nor Draining"},
		{`"Slots":2`, `"Slots":2,"Report":"http://host/load"`, "Pool[0].Report", "by an IP address"},
		{`"Slots":2`, `"Slots":2,"Report":"ftp://10.0.0.1/load"`, "Pool[0].Report", "is not an http or https URL"},
		{`"ImbalanceBound":1.08`, `"ImbalanceBound":0.9`, "Policy.ImbalanceBound", "is less than 1"},
		{`"ImbalanceBound":1.08`, `"ImbalanceBound":1e999`, "Policy.ImbalanceBound", "is out of range"},
		{`"ColdStart":"30s"`, `"ColdStart":30`, "Policy.ColdStart", "is not a string"},
		{`"ColdStart":"30s"`, `"ColdStart":"30"`, "Policy.ColdStart", "is not a duration"},
		{`"HalfOpen":20000`, `"HalfOpen":-1`, "Limits.HalfOpen", "is negative"},
		{`"Budget":0.1`, `"Budget":1.1`, "Retry.Budget", "is not between 0 and 1"},
		{`"Attempts":3`, `"Attempts":0`, "Retry.Attempts", "is not between 1 and 16"},
		{`"Idempotent":false`, `"Idempotent":"no"`, "Retry.Idempotent", "is not true or false"},
		{`"OpenDeadline":"3s"`, `"OpenDeadline":"0s"`, "OpenDeadline", "is not between"},
		{`"IdleTimeout":"2h4m0s"`, `"IdleTimeout":"-1s"`, "IdleTimeout", "is not between"},
		// Version 2 has none of the fields of version 3.
		{`"SchemaVersion":2`, `"SchemaVersion":2,"Priority":1`, "Priority", "is not a field"},
		{`"SchemaVersion":2`, `"SchemaVersion":3,"Priority":10`, "Priority", "10 is not between 0 and 9"},
		{`"SchemaVersion":2`, `"SchemaVersion":3,"Priority":-1`, "Priority", "-1 is not between 0 and 9"},
		{`"SchemaVersion":2`, `"SchemaVersion":3,"Objective":"2m"`, "Objective", "is not between"},
		{`"SchemaVersion":2`, `"SchemaVersion":3,"Share":{"Guaranteed":1.5}`, "Share.Guaranteed", "1.5 is not between 0 and 1"},
		{`"SchemaVersion":2`, `"SchemaVersion":3,"Share":{"Highest":-0.5}`, "Share.Highest", "-0.5 is not between 0 and 1"},
		{`"SchemaVersion":2`, `"SchemaVersion":3,"Share":{"Guaranteed":0.5,"Highest":0.4}`, "Share.Highest", "0.4 is below the guaranteed 0.5"},
		{`"SchemaVersion":2`, `"SchemaVersion":3,"Shed":{"Fraction":2,"Until":"2026-01-01T00:00:00Z"}`, "Shed.Fraction", "2 is not between 0 and 1"},
		{`"SchemaVersion":2`, `"SchemaVersion":3,"Shed":{"Fraction":0.5}`, "Shed.Until", "is missing"},
		{`"SchemaVersion":2`, `"SchemaVersion":3,"Shed":{"Until":"noon"}`, "Shed.Until", "noon"},
	}
	for _, tt := range tests {
		svc, refusals := Decode("a", edited(t, tt.old, tt.replacement))
		require.Nil(t, svc, tt.replacement)
		require.Len(t, refusals, 1, tt.replacement)
		require.Equal(t, "a", refusals[0].Record)
		require.Equal(t, tt.field, refusals[0].Field)
		require.Contains(t, refusals[0].Reason, tt.reason)
	}
}

func TestDecodeMalformed(t *testing.T) {
	good := string(edited(t, "", ""))
	tests := map[string]string{
		"":                        "is not JSON",
		"[1]":                     "is not a JSON object",
		good + "{}":               "is not JSON: invalid character '{' after top-level value",
		good[:len(good)-1]:        "is not JSON",
		"{\"Name\":\"\xff\"}":     "is not UTF-8",
		strings.Repeat("[", 5000): "is not JSON",
		strings.Repeat("[", 50) + strings.Repeat("]", 50): "is nested deeper",
		good + strings.Repeat(" ", MaxRecordBytes):        "is longer than 1048576 bytes",
	}
	for record, reason := range tests {
		_, refusals := Decode("a", []byte(record))
		require.Len(t, refusals, 1)
		require.Contains(t, refusals[0].Error(), "a: "+reason)
	}
}

func TestDecodeMultipleFaults(t *testing.T) {
	record := `{"SchemaVersion":1,"Customer":"","Brand":7,"Colour":"red",
		"Addresses":["x","203.0.113.1"],"Rules":[{"Protocol":"TCP","Port":0,"Weight":1}],
		"Pool":[{"Instance":"i"},3],"Retry":{}}`
	_, refusals := Decode("a", []byte(record))
	var fields []string
	for _, r := range refusals {
		fields = append(fields, r.Field)
	}
	require.ElementsMatch(t, []string{
		"Customer", "Brand", "Name", "Colour", "Addresses[0]", "Rules[0].Port", "Rules[0].Weight",
		"Pool[0].AvailabilityZone", "Pool[0].Address", "Pool[1]", "Retry",
	}, fields)
}

func TestDecodeDefaults(t *testing.T) {
	record := `{"SchemaVersion":2,"Customer":"agency","Brand":"Karte","Name":"map-live",
		"Addresses":["203.0.113.1"],"Rules":[{"Protocol":"UDP","Port":53}],"Pool":[],
		"Limits":{"Open":0}}`
	svc, refusals := Decode("a", []byte(record))
	require.Empty(t, refusals)
	defaults := NewServiceV2()
	want := defaults.Service()
	require.Equal(t, want.Policy, svc.Policy)
	require.Equal(t, Limits{HalfOpen: DefaultHalfOpen, NewPerSecond: DefaultNewPerSecond}, svc.Limits)
	require.Equal(t, want.Retry, svc.Retry)
	require.Equal(t, want.OpenDeadline, svc.OpenDeadline)
	require.Equal(t, want.IdleTimeout, svc.IdleTimeout)
}

// examples are the records that docs/RECORDS.md shows.
func examples(t testing.TB) map[string][]byte {
	paths, err := filepath.Glob("../docs/examples/*.json")
	require.NoError(t, err)
	require.Len(t, paths, 4)
	files := make(map[string][]byte)
	for _, path := range paths {
		files[filepath.Base(path)], err = os.ReadFile(path)
		require.NoError(t, err)
	}
	return files
}

func TestDocsExamples(t *testing.T) {
	files := examples(t)
	page, err := os.ReadFile("../docs/RECORDS.md")
	require.NoError(t, err)
	for _, name := range []string{"map-archive-v1.json", "proofdesk-v2.json", "map-live-v3.json"} {
		_, refusals := Decode(name, files[name])
		require.Empty(t, refusals)
		require.True(t, bytes.Contains(page, files[name]), "RECORDS.md shows another %s", name)
	}
	index, err := ParseIndex(Value{Revision: 1, Body: files["Index.json"]})
	require.NoError(t, err)
	require.NotEmpty(t, index.Records)
}

// FuzzDecode checks that a record is either refused with reasons, or decodes to
// the same service after being encoded again.
func FuzzDecode(f *testing.F) {
	for _, b := range examples(f) {
		f.Add(b)
	}
	f.Add(edited(f, `"Port":443`, `"Port":0`))
	f.Add([]byte(`{"SchemaVersion":1,"Pool":[{"Address":"[::1]:1"},null],"Pool":{}}`))
	f.Add([]byte(`[[[[{"SchemaVersion":9e9}]]]]`))
	f.Fuzz(func(t *testing.T, record []byte) {
		svc, refusals := Decode("a", record)
		require.Equal(t, svc == nil, len(refusals) > 0)
		if svc == nil {
			return
		}
		again, refusals := Decode("a", rewritten(t, svc.SchemaVersion, record))
		require.Empty(t, refusals)
		require.Equal(t, svc, again)
	})
}

// rewritten decodes a record with encoding/json and encodes it again.
func rewritten(t *testing.T, version int, record []byte) []byte {
	if version == SchemaV1 {
		var v ServiceV1
		require.NoError(t, json.Unmarshal(record, &v))
		return body(t, v)
	}
	if version == SchemaV3 {
		v := NewServiceV3()
		require.NoError(t, json.Unmarshal(record, &v))
		return body(t, v)
	}
	v := NewServiceV2()
	require.NoError(t, json.Unmarshal(record, &v))
	return body(t, v)
}
