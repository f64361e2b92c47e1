#!/bin/sh
cd "$(dirname "$0")/../.."
exec target/review-3/epoch review/11/record.txt
