// Command protogen compiles a .proto file and writes the Go code for its
// messages next to it. protoc is not required: the compiler and the generator are
// Go libraries from the module proxy. One of them is the package protogen of
// google.golang.org/protobuf/compiler, which shares only the name with this command.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/cmd/protoc-gen-go/internal_gengo"
	"google.golang.org/protobuf/compiler/protogen"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: protogen FILE.proto")
		os.Exit(2)
	}
	if err := generate(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "protogen:", err)
		os.Exit(1)
	}
}

// generate writes FILE.pb.go into the folder of the given file. The path is
// registered with the messages and must be unique in a program, so path must
// be relative to the working directory, the root of the repository.
func generate(path string) error {
	name := filepath.ToSlash(filepath.Clean(path))
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{"."}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(context.Background(), name)
	if err != nil {
		return err
	}
	parameter := "paths=source_relative"
	request := &pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{name},
		Parameter:      &parameter,
		ProtoFile:      []*descriptorpb.FileDescriptorProto{protodesc.ToFileDescriptorProto(files[0])},
	}
	plugin, err := protogen.Options{}.New(request)
	if err != nil {
		return err
	}
	for _, file := range plugin.Files {
		if file.Generate {
			internal_gengo.GenerateFile(plugin, file)
		}
	}
	for _, out := range plugin.Response().GetFile() {
		if err := os.WriteFile(filepath.FromSlash(out.GetName()), []byte(out.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
