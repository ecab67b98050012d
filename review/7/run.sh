#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/case-7
