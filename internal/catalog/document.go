package catalog

import (
	"net/netip"
	"slices"
)

// Document is the platform's configuration document. It can only be read, lags,
// and may be an old one again.
type Document struct {
	// Revision grows with every version the platform publishes.
	Revision uint64            `cbor:"1,keyasint" json:"revision"`
	Services []DocumentService `cbor:"2,keyasint" json:"services"`
	Targets  []DocumentTarget  `cbor:"3,keyasint" json:"targets"`
}

// DocumentService is one service of a document.
type DocumentService struct {
	Name     string         `cbor:"1,keyasint" json:"name"`
	Address  netip.AddrPort `cbor:"2,keyasint" json:"address"`
	Protocol Protocol       `cbor:"3,keyasint" json:"protocol"`
	Priority Priority       `cbor:"4,keyasint" json:"priority"`
	Limits   Limits         `cbor:"5,keyasint" json:"limits"`
}

// DocumentTarget is one target of a document.
type DocumentTarget struct {
	Service  string         `cbor:"1,keyasint" json:"service"`
	Name     string         `cbor:"2,keyasint" json:"name"`
	Address  netip.AddrPort `cbor:"3,keyasint" json:"address"`
	Zone     string         `cbor:"4,keyasint" json:"zone"`
	Weight   uint32         `cbor:"5,keyasint" json:"weight"`
	Draining bool           `cbor:"6,keyasint,omitempty" json:"draining"`
}

// importDocument makes the changes by which a document differs from the one
// imported last. What the platform has not changed since is left as the
// operators have it, so an import never takes an operator's call back by
// accident; and an older document is refused.
func (s *State) importDocument(change *Change) ([]string, *Refusal) {
	document := change.Document
	if document == nil {
		return nil, refuse(RefusedInvalid, "document", "is missing")
	}
	var before Document
	if s.Imported != nil {
		before = *s.Imported
	}
	if document.Revision <= before.Revision {
		return nil, refuse(RefusedPrecondition, "document.revision", "is %d, but %d was imported already", document.Revision, before.Revision)
	}
	importer := importer{state: s, time: change.Time}
	importer.services(before.Services, document.Services)
	importer.targets(before.Targets, document.Targets)
	s.Imported = document
	return importer.skipped, nil
}

// importer applies single differences; one that is refused is skipped, and the
// rest goes on.
type importer struct {
	state   *State
	time    int64
	skipped []string
}

func (i *importer) try(operation Operation, service Service, target Target) {
	_, refusal := i.state.run(&Change{Operation: operation, Time: i.time, Service: service, Target: target})
	if refusal != nil {
		i.skipped = append(i.skipped, service.Name+"/"+target.Name+": "+refusal.Error())
	}
}

func (i *importer) services(before, after []DocumentService) {
	for _, service := range after {
		declared := Service{
			Name: service.Name, Address: service.Address, Protocol: service.Protocol,
			Priority: service.Priority, Limits: service.Limits,
		}
		index := slices.IndexFunc(before, func(old DocumentService) bool { return old.Name == service.Name })
		if index < 0 {
			i.try(CreateService, declared, Target{})
		} else if before[index] != service {
			i.try(UpdateService, declared, Target{})
		}
	}
}

// targets adds, weighs and drains. A target that is no longer listed is drained,
// not retired: its flows go on until an operator says otherwise.
func (i *importer) targets(before, after []DocumentTarget) {
	for _, target := range after {
		declared := Target{Name: target.Name, Address: target.Address, Zone: target.Zone, Weight: target.Weight}
		service := Service{Name: target.Service}
		old, known := findDocumentTarget(before, target.Service, target.Name)
		if !known {
			i.try(AddTarget, service, declared)
		} else if old.Weight != target.Weight {
			i.try(SetTargetWeight, service, declared)
		}
		if target.Draining && !old.Draining {
			i.try(DrainTarget, service, declared)
		}
	}
	for _, old := range before {
		if _, listed := findDocumentTarget(after, old.Service, old.Name); !listed && !old.Draining {
			i.try(DrainTarget, Service{Name: old.Service}, Target{Name: old.Name})
		}
	}
}

func findDocumentTarget(targets []DocumentTarget, service, name string) (DocumentTarget, bool) {
	for _, target := range targets {
		if target.Service == service && target.Name == name {
			return target, true
		}
	}
	return DocumentTarget{}, false
}
