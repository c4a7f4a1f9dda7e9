package bronzetest_test

import (
	"context"
	"fmt"
	"time"

	"bronzeusher.example/bronzeusher/bronzetest"
)

func ExampleDemo() {
	demo := bronzetest.Demo{Deployment: "klang", Balancers: 3, Flows: 20, Duration: time.Second}
	result, err := demo.Run(context.Background())
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("misdelivered:", result.Misdelivered)
	fmt.Println("double runs:", result.DoubleRuns)
	// Output:
	// misdelivered: 0
	// double runs: 0
}
