package bronzeconf_test

import (
	"fmt"

	"bronzeusher.example/bronzeusher/bronzeconf"
)

func ExampleCheckRecords() {
	records := []bronzeconf.Record{{Name: "map-live", Body: []byte(`{
		"SchemaVersion": 1,
		"Customer": "agency",
		"Brand": "Karte",
		"Name": "map-live",
		"Addresses": ["203.0.113.1"],
		"Rules": [{"Protocol": "TCP", "Port": 0}],
		"Pool": [{"Instance": "live-1", "Address": "10.0.0.1", "AvailabilityZone": "riga-a"}]
	}`)}}
	for _, r := range bronzeconf.CheckRecords(records) {
		fmt.Println(r)
	}
	// Output:
	// map-live: Pool[0].Address: "10.0.0.1": not an ip:port
	// map-live: Rules[0].Port: is 0
}

func ExampleStore() {
	record := func(brand string) []byte {
		return []byte(`{"SchemaVersion":1,"Customer":"agency","Brand":"` + brand + `","Name":"map-live",
			"Addresses":["203.0.113.1"],"Rules":[{"Protocol":"TCP","Port":443}],"Pool":[]}`)
	}
	store := bronzeconf.Store{OnChange: func(s *bronzeconf.Snapshot) {
		fmt.Println(s.Revision, s.Services[0].Brand, s.Refusals)
	}}
	for rev, brand := range []string{"Karte", "", "Karte 2"} {
		v := bronzeconf.StoredRecord{Name: "live", Revision: uint64(rev + 1), Body: record(brand)}
		present := []bronzeconf.RecordVersion{{Name: v.Name, Revision: v.Revision}}
		if _, err := store.Apply(v.Revision, present, []bronzeconf.StoredRecord{v}); err != nil {
			fmt.Println(err)
		}
	}
	_, err := store.Apply(1, nil, nil)
	fmt.Println(err)
	// Output:
	// 1 Karte []
	// 2 Karte [live: Brand: is empty]
	// 3 Karte 2 []
	// index 1, in force 3: revision is older than the one in force
}
