package clusterstate

import (
	"wisteriadyke/core/config"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
)

// State holds the tables of one entry; its zero value is ready to use.
type State struct {
	// Endpoints holds the endpoints of the instance list.
	Endpoints Table[fleet.EndpointID, fleet.Endpoint]
	// ListedEntries holds the entries of the instance list, which learns late of new entries and of those that have ended.
	ListedEntries Table[fleet.EntryID, fleet.Entry]
	// ZoneEntries holds the entries of this entry's availability zone that are not known to be dead. They include this
	// entry and leaving ones.
	ZoneEntries Table[fleet.EntryID, fleet.Entry]
	// Entries holds the entries of all availability zones that are not known to be dead. They include this entry and
	// leaving ones.
	Entries Table[fleet.EntryID, fleet.Entry]
	// Configuration holds the current configuration under its single key. It is empty in the gateway, whose configuration
	// is in a routing.ActiveTable.
	Configuration Table[SingleKey, config.Configuration]
	// Zones holds the zone states set by operators.
	Zones Table[fleet.Zone, config.ZoneState]
	// Loads is the table for the last reported loads of endpoints. No code of this program writes it, so it is empty.
	Loads Table[fleet.EndpointID, fleet.Load]
	// Reports holds the last reports of the endpoints' owners.
	Reports Table[fleet.EndpointID, placement.Report]
}

// SingleKey is the key of a table with one row.
type SingleKey struct{}
