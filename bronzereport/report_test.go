package bronzereport

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var section = Section{Begin: "<!-- a:begin -->", End: "<!-- a:end -->"}

func TestReplaceIdempotent(t *testing.T) {
	page := "before\n<!-- a:begin --><!-- a:end -->\nafter\n"
	once, err := section.Replace(page, "\nnew\n\n")
	require.NoError(t, err)
	require.Equal(t, "before\n<!-- a:begin -->\nnew\n<!-- a:end -->\nafter\n", once)
	twice, err := section.Replace(once, "new")
	require.NoError(t, err)
	require.Equal(t, once, twice)
}

func TestReplaceInvalidMarks(t *testing.T) {
	for _, page := range []string{
		"", section.Begin, section.End, section.End + section.Begin,
		section.Begin + section.Begin + section.End, section.Begin + section.End + section.End,
	} {
		_, err := section.Replace(page, "new")
		require.ErrorIs(t, err, ErrNoMarks, page)
	}
}

func TestFilesRoundTrip(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data", "x.json")
	var none Source
	require.ErrorIs(t, LoadJSON(path, &none), os.ErrNotExist)
	saved := Source{Machine: NewMachine(), Revision: "abc", Modified: true}
	require.Positive(t, saved.Machine.Cores)
	require.NoError(t, SaveJSON(path, saved))
	var loaded Source
	require.NoError(t, LoadJSON(path, &loaded))
	require.Equal(t, saved, loaded)
	require.NoError(t, Save(path, strings.NewReader("x "+section.Begin+section.End)))
	require.NoError(t, section.Rewrite(path, "new"))
	page, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, "x "+section.Begin+"\nnew\n"+section.End, string(page))
}

func TestMarkdownEscapes(t *testing.T) {
	table := Table{Head: []string{"a"}, Rows: [][]string{{"x|y\nz"}}}
	require.Equal(t, "| a |\n| --- |\n| x\\|y z |\n", table.Markdown())
}

func TestTicksDecimals(t *testing.T) {
	for _, tick := range Ticks("%.1f").Ticks(0, 3) {
		if !tick.IsMinor() {
			require.Regexp(t, `^\d\.\d$`, tick.Label)
		}
	}
}
