package main

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReplaceTables(t *testing.T) {
	all := map[string]*table{"one": {head: []string{"a", "b"}, rows: [][]string{{"1", "2"}}}}
	text, err := replaceTables("before\n<!-- bronzecost:one -->\nold\n<!-- /bronzecost -->\nafter\n", all)
	require.NoError(t, err)
	want := "before\n<!-- bronzecost:one -->\n| a | b |\n| --- | --- |\n| 1 | 2 |\n<!-- /bronzecost -->\nafter\n"
	require.Equal(t, want, text)
	again, err := replaceTables(text, all)
	require.NoError(t, err)
	require.Equal(t, want, again)
}

func TestReplaceTablesMissing(t *testing.T) {
	all := map[string]*table{"one": {head: []string{"a"}}}
	_, err := replaceTables("no marks", all)
	require.ErrorContains(t, err, "table one has no mark")
	_, err = replaceTables("<!-- bronzecost:two -->\n<!-- /bronzecost -->", all)
	require.ErrorContains(t, err, "no table two")
}

// TestTablesMissingSeries checks that tables succeeds with all series and without
// one that no table uses, and names one that is missing otherwise.
func TestTablesMissingSeries(t *testing.T) {
	r := &Report{}
	for _, c := range costs {
		points := []Point{{Size: 7, Value: 1}, {Size: 490, Value: 2}}
		r.Series = append(r.Series, Series{Name: c.Name, Points: points, Line: fit(points)})
	}
	all, err := tables(r)
	require.NoError(t, err)
	for name, tab := range all {
		require.NotEmpty(t, tab.rows, name)
		for _, cells := range tab.rows {
			require.Len(t, cells, len(tab.head), name)
		}
	}
	r.Series = r.Series[1:] // the first one, DecisionByFlows, which no table uses
	_, err = tables(r)
	require.NoError(t, err)
	i := 0
	for r.Series[i].Name != costFlowHeap {
		i++
	}
	r.Series = append(r.Series[:i], r.Series[i+1:]...)
	_, err = tables(r)
	require.ErrorContains(t, err, costFlowHeap)
}

func TestNumber(t *testing.T) {
	for want, x := range map[string]float64{
		"0": 0, "12": 12, "1.23": 1.2345, "0.0123": 0.012345, "1,234,567": 1234567, "-3.5": -3.5, "1e-06": 1e-6, "123": 123.4, "1,000": 999.9999,
	} {
		require.Equal(t, want, number(x))
	}
	require.Equal(t, "1.5 ms", duration(1.5e6))
	require.Equal(t, "3 h", seconds(3*3600))
	require.Equal(t, "met", verdict(1, 1))
	require.Equal(t, "**2 times over**", verdict(2, 1))
}
