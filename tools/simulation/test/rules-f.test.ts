import { rules } from '@thornsail/simulation';

rules.test('storm'.split(','), [1, 2, 3]);
