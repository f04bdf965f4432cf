// Command protogen stands between our .proto files and the protobuf plug-ins:
// with "request FILE" it writes to standard output what a plug-in is to
// generate, and with "files DIR" it writes what a plug-in answered on standard
// input below a directory.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

// fileMode is that of generated files.
const fileMode = 0o644

var errUsage = errors.New("usage: protogen request FILE | protogen files DIR")

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) != 2 {
		return errUsage
	}
	switch args[0] {
	case "request":
		return request(args[1])
	case "files":
		return files(args[1])
	default:
		return errUsage
	}
}

// request writes the request to generate the code of one file.
func request(file string) error {
	c := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(&protocompile.SourceResolver{}),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	compiled, err := c.Compile(context.Background(), file)
	if err != nil {
		return err
	}
	b, err := proto.Marshal(&pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{file},
		Parameter:      proto.String("paths=source_relative"),
		ProtoFile:      []*descriptorpb.FileDescriptorProto{protoutil.ProtoFromFileDescriptor(compiled[0])},
	})
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(b)
	return err
}

// files writes the files of a plug-in's answer.
func files(dir string) error {
	b, err := io.ReadAll(os.Stdin)
	if err != nil {
		return err
	}
	var answer pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(b, &answer); err != nil {
		return err
	}
	if answer.Error != nil {
		return errors.New(answer.GetError())
	}
	for _, f := range answer.GetFile() {
		if err := os.WriteFile(filepath.Join(dir, f.GetName()), []byte(f.GetContent()), fileMode); err != nil {
			return err
		}
	}
	return nil
}
