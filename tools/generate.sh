#!/bin/sh
# Regenerates the gRPC code after a change of pond.proto; the result is committed.
. "$(dirname -- "$0")/environment.sh"
OUT=src/_pistachiopond/transport/generated
python -m grpc_tools.protoc -Isrc/_pistachiopond/transport \
    --python_out="$OUT" --pyi_out="$OUT" --grpc_python_out="$OUT" pond.proto
sed -i 's/^import pond_pb2/from _pistachiopond.transport.generated import pond_pb2/' \
    "$OUT/pond_pb2_grpc.py"
