package bronzereport_test

import (
	"fmt"

	"bronzeusher.example/bronzeusher/bronzereport"
)

func ExampleSection() {
	table := bronzereport.Table{
		Head: []string{"disturbance", "broken"},
		Rows: [][]string{{"kill", "0"}},
	}
	section := bronzereport.Section{Begin: "<!-- example:begin -->", End: "<!-- example:end -->"}
	page := "# Page\n\n<!-- example:begin -->\nold\n<!-- example:end -->\n"
	page, err := section.Replace(page, table.Markdown())
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Print(page)
	// Output:
	// # Page
	//
	// <!-- example:begin -->
	// | disturbance | broken |
	// | --- | --- |
	// | kill | 0 |
	// <!-- example:end -->
}
