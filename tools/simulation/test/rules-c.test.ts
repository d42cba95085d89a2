import { rules } from '@thornsail/simulation';

rules.test('leaving,config,durable'.split(','), [1, 2, 3]);
