// Package bronzeadmit decides which openings are admitted to a pool that has no room for all of
// them: by the priority of the route, then fairly between Customers and callers.
package bronzeadmit
