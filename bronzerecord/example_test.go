package bronzerecord_test

import (
	"fmt"

	"bronzeusher.example/bronzeusher/bronzerecord"
)

func Example() {
	var peer, mine bronzerecord.Set
	peer.Apply(bronzerecord.Delta{Whole: true, To: 7, Changed: []bronzerecord.Record{{Name: "routes", Revision: 3}}})
	mine.OnChange = func(c bronzerecord.Change) { fmt.Println(len(c.Changed), "changed, now at", c.Position.Revision) }

	if delta, ok := peer.Since(mine.Position()); ok {
		mine.Apply(delta)
	}
	// Output: 1 changed, now at 7
}
