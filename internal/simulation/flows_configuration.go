package simulation

import (
	"net/netip"
	"slices"

	"github.com/passtray/passtray/internal/storeview"
)

// Configure writes a configuration that maps each address to services.
func (m *FlowModel) Configure(routes map[netip.AddrPort][]string) {
	m.version++
	configuration := &storeview.Configuration{Version: m.version}
	services := map[string]bool{}
	for _, address := range sortedRoutes(routes) {
		route := storeview.Route{Address: address}
		for _, service := range routes[address] {
			services[service] = true
			route.Backends = append(route.Backends, storeview.Backend{Service: service, Weight: 1})
		}
		configuration.Routes = append(configuration.Routes, route)
	}
	for service := range services {
		configuration.Services = append(configuration.Services, storeview.Service{Name: service})
	}
	slices.SortFunc(configuration.Services, func(a, b storeview.Service) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	m.Store.Put(storeview.Entry{Key: "config", Configuration: configuration})
	m.noteAllowedServices(routes)
}

func sortedRoutes(routes map[netip.AddrPort][]string) []netip.AddrPort {
	var addresses []netip.AddrPort
	for address := range routes {
		addresses = append(addresses, address)
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return addresses
}

func (m *FlowModel) noteAllowedServices(routes map[netip.AddrPort][]string) {
	now := m.Clock.Now()
	for address, services := range m.allowed {
		for service, allowed := range services {
			if allowed.until.IsZero() && !slices.Contains(routes[address], service) {
				allowed.until = now
			}
		}
	}
	for address := range m.routedSince {
		if _, isListed := routes[address]; !isListed {
			delete(m.routedSince, address)
		}
	}
	for address, services := range routes {
		if m.routedSince[address].IsZero() {
			m.routedSince[address] = now
		}
		if m.allowed[address] == nil {
			m.allowed[address] = map[string]*allowance{}
		}
		for _, service := range services {
			m.allowed[address][service] = &allowance{}
		}
	}
}
