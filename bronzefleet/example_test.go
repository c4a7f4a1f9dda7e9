package bronzefleet_test

import (
	"fmt"
	"time"

	"bronzeusher.example/bronzeusher/bronzefleet"
	"bronzeusher.example/bronzeusher/bronzelink"
)

// A member is leaving: its slots pass to the next node in their order, and the
// view names the previous owner, which knows the existing flows.
func ExampleNewView() {
	members := []bronzelink.Member{
		{Name: "riga-a-1", Status: bronzelink.Alive},
		{Name: "riga-b-1", Status: bronzelink.Alive},
		{Name: "riga-c-1", Status: bronzelink.Alive},
	}
	const hash = 0xbeef << 48
	before := bronzefleet.NewView("riga-a-1", members, nil, time.Now())
	order, n := before.Order(hash)
	fmt.Println(order[:n])

	members[1].Status = bronzelink.Leaving
	after := bronzefleet.NewView("riga-a-1", members, before, time.Now())
	fmt.Println(after.Owner(hash))
	previous, n := after.Previous(hash)
	fmt.Println(after.Unsettled(hash, time.Minute), previous[:n])
	// Output:
	// [riga-b-1 riga-a-1 riga-c-1]
	// riga-a-1
	// true [riga-b-1]
}
