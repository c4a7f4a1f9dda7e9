package bronzenode_test

import (
	"context"
	"fmt"
	"io"
	"net/netip"

	"github.com/sirupsen/logrus"

	"bronzeusher.example/bronzeusher/bronzenode"
)

func ExampleNode() {
	log := logrus.New()
	log.SetOutput(io.Discard)
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	n, err := bronzenode.New(bronzenode.Config{
		Name: "vm-1", Fleet: "example", AvailabilityZone: "riga-a",
		EdgeAddress: loopback, DataAddress: loopback, ControlAddress: loopback, HTTPAddress: loopback,
		FabricAddress: netip.MustParseAddrPort("127.0.0.1:6080"),
		Plain:         true,
		Log:           log,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- n.Run(ctx) }()
	fmt.Println("ready:", n.Ready())
	cancel()
	fmt.Println("error:", <-ended)
	// Output:
	// ready: false
	// error: <nil>
}

func ExampleConfig_Check() {
	cfg := bronzenode.Config{Name: "vm-1"}
	fmt.Println(cfg.Check())
	// Output: Fleet: is required
}
