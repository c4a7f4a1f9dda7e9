package bronzesoak

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzereport"
)

func TestNewPlan(t *testing.T) {
	seen := map[Kind]bool{}
	for seed := range uint64(300) {
		p := NewPlan(seed, 20*time.Second)
		require.Equal(t, p, NewPlan(seed, 20*time.Second))
		require.NoError(t, p.Check())
		for i := range p.Events {
			seen[p.Events[i].Kind] = true
			require.LessOrEqual(t, p.Events[i].offset(), p.length()-recoveryPeriod)
		}
	}
	require.NotContains(t, seen, Overload)
	seen[Overload] = true // TestOverloadPlan
	require.Len(t, seen, len(allKinds))
}

func TestReadPlan(t *testing.T) {
	path := filepath.Join(t.TempDir(), "plan.json")
	p := NewPlan(7, 20*time.Second)
	require.NoError(t, bronzereport.SaveJSON(path, p))
	read, err := ReadPlan(path)
	require.NoError(t, err)
	require.Equal(t, p, read)

	for field, invalidate := range map[string]func(*Plan){
		"Seconds":        func(p *Plan) { p.Seconds = 0 },
		"Zones":          func(p *Plan) { p.Zones = 0 },
		"NodesPerZone":   func(p *Plan) { p.NodesPerZone = 201 },
		"ServersPerZone": func(p *Plan) { p.ServersPerZone = 0 },
		"Callers":        func(p *Plan) { p.Callers = 0 },
		"PauseMS":        func(p *Plan) { p.PauseMS = 0 },
		"WorkMS":         func(p *Plan) { p.WorkMS = 0 },
		"Events[0].Kind": func(p *Plan) { p.Events[0].Kind = "Sing" },
		"Events[0].Mode": func(p *Plan) { p.Events[0].Mode = "Loud" },
	} {
		invalid := NewPlan(7, 20*time.Second)
		invalidate(&invalid)
		require.NoError(t, bronzereport.SaveJSON(path, invalid))
		_, err = ReadPlan(path)
		require.ErrorContains(t, err, field+": ")
	}
	require.NoError(t, os.WriteFile(path, []byte("{"), 0o600))
	_, err = ReadPlan(path)
	require.Error(t, err)
}
