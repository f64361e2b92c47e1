#!/bin/sh
cd "$(dirname "$0")/../.."
exec target/review-3/silent review/15/record.txt
