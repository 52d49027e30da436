package storeview

// Succession reports that a daemon has seen responses of a target at the address of another one, which
// has therefore ended.
type Succession struct {
	// Ended identifies the target that has ended, in one incarnation of it, 0 if that is unknown.
	Ended       uint64 `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	// Successor identifies the target that responds.
	Successor uint64 `cbor:"3,keyasint"`
}
