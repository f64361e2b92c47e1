# The sources of dispatch/ for holders of slices, relays and targets. They are a
# library of their own, which depends on rs_view and rs_http.
add_library(rs_holder STATIC dispatch/holder.c dispatch/relay_client.c
  dispatch/relay_server.c dispatch/target.c dispatch/target_grant.c
  dispatch/target_pool.c dispatch/target_request.c dispatch/task_messages.c)
target_link_libraries(rs_holder PUBLIC rs_dispatch rs_view rs_http)
rs_test(relay_client_test SOURCES dispatch/relay_client_test.c
  LIBS rs_holder)
rs_test(holder_test SOURCES dispatch/holder_test.c LIBS rs_holder)
rs_test(relay_test SOURCES dispatch/relay_test.c LIBS rs_holder)
