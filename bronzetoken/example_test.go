package bronzetoken_test

import (
	"fmt"

	"bronzeusher.example/bronzeusher/bronzetoken"
)

func Example() {
	holders := []bronzetoken.Holder{{Name: "host-1", Since: 7}, {Name: "host-2", Since: 9}}
	set := bronzetoken.NewSet("198.18.0.1:443", holders)
	name, ok := set.Name(set.Token("host-2"))
	fmt.Println(name, ok)

	other := bronzetoken.NewSet("198.18.0.2:443", holders)
	_, ok = other.Name(set.Token("host-2"))
	fmt.Println("at another endpoint:", ok)
	// Output:
	// host-2 true
	// at another endpoint: false
}
