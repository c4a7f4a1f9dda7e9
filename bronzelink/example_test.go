package bronzelink_test

import (
	"context"
	"fmt"
	"net"

	"bronzeusher.example/bronzeusher/bronzelink"
)

// Two nodes on loopback: one sends the other a heartbeat.
func Example() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	b := bronzelink.Member{Name: "riga-b-1", ControlAddress: listener.Addr().String()}
	done := make(chan struct{})
	server := bronzelink.Mesh{
		Self: func() bronzelink.Member { return b },
		OnMessage: func(from string, m *bronzelink.Message) {
			fmt.Println(from, m.Heartbeat.Sequence)
			close(done)
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	served := make(chan error)
	go func() { served <- server.Serve(ctx, listener) }()

	client := bronzelink.Mesh{Self: func() bronzelink.Member { return bronzelink.Member{Name: "riga-a-1"} }}
	err = client.Send(b, &bronzelink.Message{Heartbeat: &bronzelink.Heartbeat{Sequence: 7}})
	if err != nil {
		fmt.Println(err)
		return
	}
	<-done
	_ = client.Close()
	cancel()
	fmt.Println(<-served)
	_ = server.Close()
	// Output:
	// riga-a-1 7
	// <nil>
}
