package storeview

// Change describes what a merge altered.
type Change struct {
	// Configuration and Targets report whether the configuration or any target changed.
	Configuration bool
	Targets       bool
	// ChangedTargets lists the changed targets. A target that changed several times may be listed as
	// often, also by a superseded entry.
	ChangedTargets []*KnownTarget
	// Orders lists the orders that were issued or withdrawn.
	Orders []KnownOrder
	// LacksBase reports that a Difference could not be applied because its base version is not held
	// here.
	LacksBase bool
	// InvalidEntries lists rejected entries, each with its reason, at most maxInvalidReports of a merge;
	// OmittedInvalid counts the rest.
	InvalidEntries []string
	OmittedInvalid int
	// Details lists state changes of targets, at most maxDetails; Omitted counts the rest.
	Details []string
	Omitted int
}

const maxDetails = 20

func (c *Change) addDetail(key, state string) {
	if len(c.Details) >= maxDetails {
		c.Omitted++
		return
	}
	c.Details = append(c.Details, key+" "+state)
}

func (c *Change) addInvalid(reason string) {
	if len(c.InvalidEntries) >= maxInvalidReports {
		c.OmittedInvalid++
		return
	}
	c.InvalidEntries = append(c.InvalidEntries, reason)
}

// Add merges another change into this one.
func (c *Change) Add(other Change) {
	c.Configuration = c.Configuration || other.Configuration
	c.Targets = c.Targets || other.Targets
	c.ChangedTargets = append(c.ChangedTargets, other.ChangedTargets...)
	c.Orders = append(c.Orders, other.Orders...)
	c.LacksBase = c.LacksBase || other.LacksBase
	c.InvalidEntries = append(c.InvalidEntries, other.InvalidEntries...)
	c.OmittedInvalid += other.OmittedInvalid
	c.Details = append(c.Details, other.Details...)
	c.Omitted += other.Omitted
}

// IsEmpty reports whether neither the configuration nor a target or order changed.
func (c *Change) IsEmpty() bool { return !c.Configuration && !c.Targets && len(c.Orders) == 0 }
