package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzecore"
	"bronzeusher.example/bronzeusher/bronzenode"
	"bronzeusher.example/bronzeusher/bronzepool"
)

// operationsPage returns the page that documents each counter, reason and flag
// of serve.
func operationsPage(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	return string(b)
}

// declaredNames returns the package-level constants and variables of a source
// file, with the values of those that are set to a string literal.
func declaredNames(t *testing.T, file string) map[string]string {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), "../../"+file, nil, 0)
	require.NoError(t, err)
	names := make(map[string]string)
	for _, decl := range f.Decls {
		d, ok := decl.(*ast.GenDecl)
		if !ok {
			continue
		}
		for _, spec := range d.Specs {
			v, ok := spec.(*ast.ValueSpec)
			if !ok {
				continue
			}
			for i, name := range v.Names {
				names[name.Name] = stringValue(v, i)
			}
		}
	}
	return names
}

func stringValue(v *ast.ValueSpec, i int) string {
	if i >= len(v.Values) {
		return ""
	}
	lit, ok := v.Values[i].(*ast.BasicLit)
	if !ok {
		return ""
	}
	s, _ := strconv.Unquote(lit.Value)
	return s
}

// Every reason in the name of a counter is documented. The reasons are read from
// the code, so that a new one without a row fails the test.
func TestOperationsPageReasons(t *testing.T) {
	want := []string{"`Malformed.Other`", "`Config.VMsFailed`"}
	for _, r := range bronzecore.Reasons() {
		want = append(want, "| `"+r.String()+"` |")
	}
	for d := bronzepool.Admitted; d.String() != "Unknown"; d++ {
		want = append(want, "`"+d.String()+"`")
	}
	sources := []struct{ file, prefix, counter string }{
		{"bronzelink/mesh.go", "Count", "Control."},
		{"bronzefleet/reason.go", "Count", "Control."},
		{"bronzeconf/store.go", "Record", "Config."},
		{"bronzeconf/store.go", "Index", "Config."},
		{"bronzeconf/reader.go", "", "Config."},
		{"bronzenode/reports.go", "poll", "PollFailed."},
	}
	for _, s := range sources {
		found := len(want)
		for name, value := range declaredNames(t, s.file) {
			if value != "" && strings.HasPrefix(name, s.prefix) {
				want = append(want, "| `"+s.counter+value+"` |")
			}
		}
		require.Greater(t, len(want), found, "no reasons in %s", s.file)
	}
	found := len(want)
	for name := range declaredNames(t, "bronzewire/errors.go") {
		if reason, ok := strings.CutPrefix(name, "Err"); ok {
			want = append(want, "| `Malformed."+reason+"` |")
		}
	}
	require.Greater(t, len(want), found, "no reasons in bronzewire")
	requireRows(t, want)
}

func loopbackConfig() bronzenode.Config {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	return bronzenode.Config{
		Name: "a", Fleet: "test", AvailabilityZone: "riga-a", Plain: true,
		EdgeAddress: loopback, DataAddress: loopback, ControlAddress: loopback, HTTPAddress: loopback,
		FabricAddress: netip.MustParseAddrPort("127.0.0.1:6080"),
	}
}

// Every counter of a new node is documented. A name with a reason needs a row
// for the reason, too.
func TestOperationsPageCounters(t *testing.T) {
	n, err := bronzenode.New(loopbackConfig())
	require.NoError(t, err)
	defer n.Kill()
	var want []string
	for _, name := range slices.Sorted(maps.Keys(n.Counters())) {
		name, reason, _ := strings.Cut(name, ".")
		want = append(want, "`"+name+"`")
		if reason != "" {
			want = append(want, "| `"+reason+"` |")
		}
	}
	requireRows(t, want)
}

func TestOperationsPageFlags(t *testing.T) {
	parser, err := kong.New(&commands{})
	require.NoError(t, err)
	var want []string
	for _, command := range parser.Model.Children {
		if command.Name != "serve" {
			continue
		}
		for _, flag := range command.Flags {
			want = append(want, "| `--"+flag.Name+"` |")
		}
	}
	require.NotEmpty(t, want)
	requireRows(t, want)
}

func requireRows(t *testing.T, want []string) {
	t.Helper()
	page := operationsPage(t)
	var missing []string
	for _, row := range want {
		if !strings.Contains(page, row) {
			missing = append(missing, row)
		}
	}
	require.Empty(t, missing, "docs/OPERATIONS.md")
}
