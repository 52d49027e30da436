package storenode

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/passtray/passtray/internal/followed"
	"github.com/passtray/passtray/internal/steering/token"
	"github.com/passtray/passtray/internal/storeview"
)

// newStoreEntries returns the entries of a store with the given numbers of routes and targets.
func newStoreEntries(routes, targets int) []storeview.Entry {
	configuration := &storeview.Configuration{
		Version: 7, Services: []storeview.Service{{Name: "campaign", MaxFlows: 2000}, {Name: "parcels", MaxFlows: 2000}},
	}
	for number := range routes {
		configuration.Routes = append(configuration.Routes, storeview.Route{
			Name:     fmt.Sprintf("idle-%d", number),
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 200, byte(number >> 8), byte(number)}), uint16(8000+number%7)),
			Backends: []storeview.Backend{{Service: "campaign", Weight: 1000}},
			Timeout:  3 * time.Second, Objective: 600 * time.Millisecond, Priority: 1,
		})
	}
	entries := []storeview.Entry{{Key: "config", Revision: 5, Configuration: configuration}}
	for number := range targets {
		entries = append(entries, storeview.Entry{Key: fmt.Sprintf("target-%d", number), Revision: uint64(10 + number), Target: &storeview.Target{
			Identifier: uint64(number+1) * 0x9e3779b97f, Service: "campaign", Slots: 2, Zone: fmt.Sprint("zone-", number%4),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(number >> 8), byte(number)}), 9000),
		}})
	}
	return entries
}

func newSnapshot(routes, targets int) *followed.Delta {
	return &followed.Delta{Until: 1000, Entries: newStoreEntries(routes, targets)}
}

// BenchmarkStart measures the steps between the arrival of a snapshot and the first forwarded packet.
func BenchmarkStart(b *testing.B) {
	for _, routes := range []int{40, 1440, 4400} {
		encoded, err := (&deltaCache{}).encode(time.Now(), newSnapshot(routes, 150))
		if err != nil {
			b.Fatal(err)
		}
		delta, err := decodeDelta(encoded)
		if err != nil {
			b.Fatal(err)
		}
		now := time.Now()
		b.Run(fmt.Sprint("decode of routes ", routes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = decodeDelta(encoded)
			}
		})
		b.Run(fmt.Sprint("decompress of routes ", routes), func(b *testing.B) {
			b.ReportAllocs()
			entries, _ := encodeEntries(delta.Entries)
			for b.Loop() {
				_, _ = decompress(entries)
			}
		})
		b.Run(fmt.Sprint("encode of routes ", routes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = (&deltaCache{}).encode(now, delta)
			}
		})
		b.Run(fmt.Sprint("merge of routes ", routes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				storeview.New(time.Minute).MergeSnapshot(now, delta.Entries, 1000)
			}
		})
		b.Run(fmt.Sprint("build of routes ", routes), func(b *testing.B) {
			b.ReportAllocs()
			view := storeview.New(time.Minute)
			view.MergeSnapshot(now, delta.Entries, 1000)
			for b.Loop() {
				token.NewBuilder(time.Minute).Build(now, view)
			}
		})
	}
}
