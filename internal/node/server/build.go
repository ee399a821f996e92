package server

import (
	"time"

	"marjorammoor/internal/fleet/former"
	"marjorammoor/internal/memory/divider"
	"marjorammoor/internal/memory/reserver"
	"marjorammoor/internal/network/requester"
	"marjorammoor/internal/peer/beater"
	"marjorammoor/internal/peer/deliverer"
	"marjorammoor/internal/serving/admitter"
	"marjorammoor/internal/serving/announcer"
	"marjorammoor/internal/serving/balancer"
	"marjorammoor/internal/serving/breaker"
	"marjorammoor/internal/serving/relayer"
	"marjorammoor/internal/serving/tracker"
	"marjorammoor/internal/store/follower"
	"marjorammoor/internal/store/sequencer"
)

// build creates the components and connects them.
func (n *Node) build() {
	s, p := n.Settings, n.Platform
	n.signals = newStopSignals()
	if n.Client == nil {
		n.Client = &requester.Client{}
	}
	n.observer = n.newObserver()
	n.Client.Observer = n.observer
	n.deliverer = &deliverer.Deliverer{Self: s.Name, Peers: n.deliveryPeers, Client: &requester.Client{LocalIP: n.Client.LocalIP}}
	n.suspects = map[string]time.Time{}
	n.tracker = &tracker.Tracker{}
	n.balancer = &balancer.Balancer{View: n.tracker.View, DataCenter: s.DataCenter, Self: s.Name, Suspected: n.recordSuspect}
	n.balancer.IsConnected = func(t balancer.Target) bool { return n.Client.HasIdle(t.Address) }
	n.balancer.Limited = n.logLimit
	n.balancer.Reach = n.reach
	n.balancer.Nodes = func(dataCenter string) []string { return n.beater.Nodes(dataCenter) }
	n.tracker.Changed = n.balancer.Dispatch
	n.breaker = &breaker.Breaker{HasEnded: n.hasEnded, Sign: n.sign, MayTry: n.triesBlocked, Log: n.Log}
	n.requestMemory = &reserver.Reserver{Limit: func() int64 { return n.shares().Bytes(divider.RequestBodies) }}
	n.relayer = &relayer.Relayer{
		Balancer: n.balancer, Breaker: n.breaker, Client: n.Client, Peers: n.deliverer, Leaving: n.recordLeaving, Wire: p.Wire, Budget: n.budget, StopsAt: n.stopsAt, Log: n.Log,
		Memory: &reserver.Reserver{Limit: func() int64 { return n.shares().Bytes(divider.ResponseBodies) }},
	}
	n.catalogs = &follower.Follower{
		Kind: p.CatalogKind, Store: p.Store, Wait: catalogWait, Log: n.Log,
		Replace: n.replaceCatalogs, Update: n.applyCatalogs, MayConfirm: n.mayConfirmCatalog,
	}
	n.runners = &follower.Follower{
		Kind: p.RunnerKind, Store: p.Store, Wait: runnersWait, MinInterval: runnersInterval, Log: n.Log,
		Replace: n.replaceRunners, Update: n.updateRunners,
		OnOutage: func(outage time.Duration) { n.expectReregistration(follower.Listing{Outage: outage}) },
	}
	for _, f := range []*follower.Follower{n.catalogs, n.runners} {
		f.IsWatchedByPeer = func() bool { return n.isWatchedByPeer(f) }
		f.OnChanges = n.publish
		f.Eras = p.Eras
		f.OnRestoredList = func(objects []follower.Object, at sequencer.Position) { n.publishList(f.Kind, objects, at) }
	}
	n.admitter = &admitter.Admitter{Catalog: n.catalog.Load, Age: n.catalogs.Age, MayDeny: n.mayDeny, RevocationTimeout: func() time.Duration { return n.bounds().RevocationTimeout }}
	n.beater = &beater.Beater{Self: s.Name, DataCenter: s.DataCenter, Fill: n.fillHeartbeat, OnHeartbeat: n.receiveHeartbeat, OnChanges: n.applyPeerChanges, OnListPart: n.applyPeerList, OnObject: n.receiveObject, OnGrant: n.receiveGrant, Log: n.Log}
	n.announcer = &announcer.Announcer{
		Self:  announcer.Node{Name: s.Name, Address: s.PeerAddress, DataCenter: s.DataCenter},
		Store: p.Store, Era: p.Eras.Newest, Found: n.beater.AddPeer, Log: n.Log,
	}
	n.former = &former.Controller{
		View:               n.tracker.View,
		ViewAt:             n.runners.ConfirmedAt,
		Services:           n.services,
		Store:              p.Store,
		Send:               p.Send,
		Probe:              n.probeMember,
		Ask:                p.Ask,
		Eras:               p.Eras,
		InFlight:           n.balancer.InFlight,
		HasWaiting:         n.balancer.HasWaiting,
		Owns:               n.owns,
		CreatesAssignments: n.createsAssignments,
		Suspects:           n.recentSuspects,
		AnswersPeers:       n.answeredPeer,
		PeerLoads:          n.peerLoads,
		StoreFailed:        n.recordStoreFailure,
		IsStartup:          n.isBeforeTraffic,
		LoadsPerWindow:     n.loadsPerWindow,
		StallTime:          func() time.Duration { return n.bounds().StallTime },
		Log:                n.Log,
	}
}

// shares returns how the memory and the sockets of the VM are divided now.
func (n *Node) shares() *divider.Divider {
	b := n.bounds()
	return &divider.Divider{Memory: b.MemoryBytes, Sockets: b.Sockets}
}
