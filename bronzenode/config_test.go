package bronzenode

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func validConfig() Config {
	return Config{
		Name: "a", Fleet: "test", AvailabilityZone: "riga-a",
		EdgeAddress: loopback, DataAddress: loopback, ControlAddress: loopback, HTTPAddress: loopback,
		FabricAddress: netip.MustParseAddrPort("127.0.0.1:6080"),
		Plain:         true,
	}
}

func TestConfigCheck(t *testing.T) {
	cfg := validConfig()
	require.NoError(t, cfg.Check())
	mutations := map[string]func(*Config){
		"Name":             func(c *Config) { c.Name = "" },
		"Fleet":            func(c *Config) { c.Fleet = "" },
		"AvailabilityZone": func(c *Config) { c.AvailabilityZone = "" },
		"EdgeAddress":      func(c *Config) { c.EdgeAddress = netip.AddrPort{} },
		"DataAddress":      func(c *Config) { c.DataAddress = netip.MustParseAddrPort("0.0.0.0:1") },
		"ControlAddress":   func(c *Config) { c.ControlAddress = netip.MustParseAddrPort("[::]:1") },
		"HTTPAddress":      func(c *Config) { c.HTTPAddress = netip.AddrPort{} },
		"FabricAddress":    func(c *Config) { c.FabricAddress = loopback },
		"Peers":            func(c *Config) { c.Peers = []string{"192.0.2.1:6082", "host:6082"} },
		"Platform":         func(c *Config) { c.Platform = "ftp://192.0.2.1" },
		"Certificate":      func(c *Config) { c.Plain = false },
		"Key":              func(c *Config) { c.Plain, c.Certificate = false, "node.pem" },
		"Authority":        func(c *Config) { c.Plain, c.Certificate, c.Key = false, "node.pem", "node.key" },
		"Plain":            func(c *Config) { c.ControlAddress = netip.MustParseAddrPort("192.0.2.1:6082") },
		"Capacity":         func(c *Config) { c.Capacity = -1 },
		"LeaveLimit":       func(c *Config) { c.LeaveLimit = -time.Second },
	}
	for field, mutate := range mutations {
		t.Run(field, func(t *testing.T) {
			cfg := validConfig()
			mutate(&cfg)
			var fieldErr *FieldError
			require.ErrorAs(t, cfg.Check(), &fieldErr)
			require.Equal(t, field, fieldErr.Field)
			require.NotEmpty(t, fieldErr.Reason)
		})
	}
}

func TestPlainExcludesCertificates(t *testing.T) {
	cfg := validConfig()
	cfg.Certificate = "node.pem"
	require.ErrorContains(t, cfg.Check(), "Plain")
}
