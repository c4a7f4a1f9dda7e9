package bronzepool

import (
	"fmt"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzeflow"
)

// newService returns a service with n servers of 2,000 connections each.
func newService(n int) *bronzeconf.Service {
	svc := &bronzeconf.Service{Customer: "Acme", Name: "web"}
	svc.Policy.ImbalanceBound = 1.05
	for i := range n {
		instance := fmt.Sprintf("web-%d", i)
		svc.Pool = append(svc.Pool, bronzeconf.BackendServer{
			ID:          bronzeflow.NewServerID(svc.Customer, instance),
			Instance:    instance,
			Slots:       2,
			Connections: 2000,
			Status:      bronzeconf.Serving,
		})
	}
	return svc
}

func serverIDs(svc *bronzeconf.Service) []bronzeflow.ServerID {
	ids := make([]bronzeflow.ServerID, 0, len(svc.Pool))
	for i := range svc.Pool {
		ids = append(ids, svc.Pool[i].ID)
	}
	return ids
}
