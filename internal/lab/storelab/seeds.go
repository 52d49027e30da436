package storelab

// KeptSeeds are schedules that showed a fault once; every soak plays them first.
//
//   - 1: a route is dropped and listed again 3 s later, while daemons cannot reach the store.
//     One that knew only the version between reset flows which others had opened since.
var KeptSeeds = []uint64{1}
