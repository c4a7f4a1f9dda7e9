package bronzeedge

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

const validConfig = `{"Name": "edge-1", "AvailabilityZone": "a", "DataAddress": "127.0.0.1:0", "ReadyAddress": "127.0.0.1:0",
	"ControlAddress": "127.0.0.1:0", "PeerAddress": "127.0.0.1:0", "Store": "127.0.0.1:1", "GraceSeconds": 6}`

func TestParseConfigFieldError(t *testing.T) {
	cfg, err := ParseConfig([]byte(validConfig))
	require.NoError(t, err)
	require.Equal(t, 6*time.Second, cfg.grace())
	for _, c := range []struct{ body, field string }{
		{`{}`, "Name"},
		{`{"Name": "x"}`, "AvailabilityZone"},
		{`{"Name": 5}`, "Name"},
		{`{"Name": "x", "AvailabilityZone": "a"}`, "DataAddress"},
		{`{"Name": "x", "AvailabilityZone": "a", "DataAddress": "127.0.0.1:1"}`, "ReadyAddress"},
		{`{"MemoryMB": "much"}`, "MemoryMB"},
		{`{"GraceSeconds": "long"}`, "GraceSeconds"},
	} {
		_, err = ParseConfig([]byte(c.body))
		var field *FieldError
		require.True(t, errors.As(err, &field), "%s: %v", c.body, err)
		require.Equal(t, c.field, field.Field)
	}
	_, err = ParseConfig([]byte(`{"DataAddress": "nowhere"}`))
	require.Error(t, err)
}
