// Package passtrayv1 is the protobuf schema of the operator API and the code generated from it.
package passtrayv1

//go:generate go build -o ../../../.bin/ google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
//go:generate protoc --plugin=../../../.bin/protoc-gen-go --plugin=../../../.bin/protoc-gen-go-grpc --proto_path=../../.. --go_out=../../.. --go_opt=paths=source_relative --go-grpc_out=../../.. --go-grpc_opt=paths=source_relative api/passtray/v1/operator.proto
