// Package etcdpb holds the messages of the platform's key-value service, which
// speaks the published etcd v3 protocol. The code is generated from
// etcd.proto with tools/generate.
package etcdpb
